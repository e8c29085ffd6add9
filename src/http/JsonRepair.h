/** \file
 * Makes a JSON text readable that another writer has spoilt in places.
 *
 * A list of the store holds objects of many writers. What the parser rejects in one of them would
 * cost all the others. So these parts are replaced: containers that are nested too deeply, numbers
 * beyond any double, and characters that are none.
 */
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace limereel::http {

/** A text whose unreadable parts have been replaced. */
struct RepairedJson
{
    std::string text;
    std::size_t deep = 0;       ///< Containers replaced by null.
    std::size_t numbers = 0;    ///< Numbers replaced by a value that is no number.
    std::size_t characters = 0; ///< Characters replaced by U+FFFD.

    std::size_t replaced() const { return deep + numbers + characters; }
};

/** \a text with what parseBody() rejects replaced; nothing if none of it is found. The result may
 * still be no JSON, as when the text is cut off. */
std::optional<RepairedJson> repairJson(std::string_view text);

/** The value in \a text, which many may have written: as parseBody() gives it, after a repair where
 * one is needed. */
nlohmann::json parseStored(std::string_view text);

} // namespace limereel::http
