/** \file
 * Who owns an engine, a quota or the hall's watch: the best live box by rendezvous hashing.
 *
 * Boxes that see different members may name different owners for seconds. What an owner grants in
 * that time is bounded by routing/PermitLedger.
 */
#pragma once

#include "membership/Rendezvous.h"

#include <optional>
#include <string_view>
#include <vector>

namespace limereel::membership {

/** The owner of the thing with hash \a thing among \a owners (as of HeartbeatTable::owners()). */
inline std::optional<std::uint64_t> ownerOf(std::uint64_t thing,
                                            const std::vector<std::uint64_t> &owners)
{
    return rendezvousOwner(thing, owners);
}

/** The first \a count boxes in line for \a thing; the second takes over when the first is gone. */
std::vector<std::uint64_t>
rankedOwners(std::uint64_t thing, const std::vector<std::uint64_t> &owners, std::size_t count);

} // namespace limereel::membership
