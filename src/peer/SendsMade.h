/** \file
 * How often backend servers were sent one request, as boxes tell each other: the box whose caller
 * it is pays for each arrival beyond the first and holds the number of runs, whichever box sends.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limereel::peer {

/** Sends of one request. */
struct SendsMade
{
    std::uint32_t runs = 0;       ///< That a server may have run.
    std::uint32_t rejections = 0; ///< That a server has rejected.
    /** Granted by a retry budget, and no send came of it; in a question, whether the budget of the
     * box that asks has one left. */
    std::uint32_t unusedRepeats = 0;
    std::uint64_t lastServer = 0; ///< Hash of the last one that may have run it; 0: none.

    auto operator<=>(const SendsMade &) const = default;
};

/** The form in a field of an answer, as in "1 2 0 00000000000000a1". */
std::string text(const SendsMade &sends);

/** The sends in \a text; nothing if it holds none. */
std::optional<SendsMade> sendsMadeFrom(std::string_view text);

} // namespace limereel::peer
