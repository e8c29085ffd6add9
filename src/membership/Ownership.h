/** \file
 * Determines the owner of an engine, a quota or a hall's settings watch: the best live box by
 * rendezvous hashing.
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

/**
 * The owner of the resource with hash \a resource among \a owners, a result of
 * HeartbeatTable::owners().
 */
inline std::optional<std::uint64_t> ownerOf(std::uint64_t resource,
                                            const std::vector<std::uint64_t> &owners)
{
    return rendezvousOwner(resource, owners);
}

/**
 * The first \a count boxes in rendezvous order for \a resource; the second takes over when the
 * first fails.
 */
std::vector<std::uint64_t>
rankedOwners(std::uint64_t resource, const std::vector<std::uint64_t> &owners, std::size_t count);

} // namespace limereel::membership
