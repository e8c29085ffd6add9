/** \file
 * JSON from strangers: parsed with a limit on its depth.
 *
 * A megabyte of opening brackets is a valid beginning, and writing such a value out again would
 * take one stack frame for each.
 */
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace limereel::http {

/** Texts that are nested more deeply are not read. */
constexpr int MostDepth = 64;

/** The value in \a text; a discarded one if there is none, or if it is nested too deeply. */
nlohmann::json parseBody(std::string_view text);

} // namespace limereel::http
