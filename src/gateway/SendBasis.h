/** \file
 * What a send to a backend server rests on: whether its owner was asked, and what that said.
 */
#pragma once

#include "forward/PlaceSearch.h"

#include <compare>
#include <cstdint>

namespace limereel::gateway {

/** The grounds of one send. */
struct SendBasis
{
    forward::OwnerSaid said = forward::OwnerSaid::NotAsked;
    std::uint64_t owner = 0; ///< The box that was asked; 0: none.
    std::uint32_t load = 0;  ///< Of the server, as the owner counts.
    std::uint32_t limit = 0; ///< Places that the owner grants; 0: it didn't say.

    auto operator<=>(const SendBasis &) const = default;
};

} // namespace limereel::gateway
