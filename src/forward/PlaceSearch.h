/** \file
 * Decides, for one request, whether a chosen server is used after its owner was asked for a place
 * there, or another one is chosen.
 *
 * Only a granted place is counted by the owner, which alone enforces the bound on the server's
 * load. Every other send adds to a load that nobody knows, and all boxes prefer the same server for
 * the same prompt. So an owner that doesn't answer is passed over like one that refuses, and a
 * server without a granted place is used only if it was drawn at random.
 */
#pragma once

#include "forward/ServerRequirements.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::forward {

/** How the owner of a server was involved in a send. */
enum class OwnerSaid : std::uint8_t {
    NotAsked,  ///< No owner was asked.
    Granted,   ///< The owner granted a place.
    Nothing,   ///< Neither the owner nor its deputy answered in time.
    AboveBound ///< The owner said that the server is above the load bound.
};

std::string_view text(OwnerSaid said);

/** The search for a server for one send. */
class PlaceSearch
{
public:
    /** Owners that are asked before a random server is used, with or without a place. */
    static constexpr std::size_t MaxOwnersAsked = 3;

    /** Whether the request is sent to \a server, whose owner said this. Otherwise another server is
     * to be chosen, and \a requirements exclude this one as long as there are others. */
    bool mayUse(OwnerSaid said, const std::string &server, ServerRequirements &requirements);

    /** Whether the owner of \a server was asked before and didn't answer. */
    bool wasSilent(const std::string &server) const;

private:
    std::vector<std::string> silent_; ///< Ids of servers whose owners didn't answer.
};

} // namespace limereel::forward
