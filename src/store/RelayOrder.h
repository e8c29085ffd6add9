/** \file
 * Which boxes of a hall ask the store on behalf of the others: every box works out the same few
 * from the live boxes that it knows, so nobody is elected and nothing is stored.
 *
 * Those with the fastest links go first: a relay sends each change to its whole hall. Among equals
 * the order is that of rendezvous hashing, so a box that comes or goes moves nobody else.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace limereel::store {

/** A live box of the own hall. */
struct RelayCandidate
{
    std::uint64_t box = 0;      ///< Hash of its name.
    std::uint32_t linkMbps = 0; ///< Of its own link, as it tells; 0: untold.

    auto operator<=>(const RelayCandidate &) const = default;
};

/** The boxes to ask, best first; at most \a count. */
std::vector<std::uint64_t> relayOrder(std::uint64_t hall, const std::vector<RelayCandidate> &live,
                                      std::size_t count);

/** Largest object that a relay passes on to \a boxes over its own link of \a linkMbps, if all are
 * to have it within \a longest; a larger one each box reads from the store. */
std::size_t largestRelayed(double linkMbps, std::size_t boxes, double longestSeconds);

} // namespace limereel::store
