/** \file
 * Selects the boxes of a hall that read the store on behalf of the others (relays). Every box
 * computes the same few from the live boxes that it knows, so there is no election and no stored
 * state.
 *
 * Boxes with the fastest links come first, since a relay sends each change to its whole hall. Among
 * boxes with equal links, rendezvous hashing gives the order, so a box that joins or leaves doesn't
 * change the order of the others.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace limereel::store {

/** A live box of the same hall. */
struct RelayCandidate
{
    std::uint64_t box = 0;      ///< Hash of its name.
    std::uint32_t linkMbps = 0; ///< Speed of its link as it reports it; 0: unknown.

    auto operator<=>(const RelayCandidate &) const = default;
};

/** The relays, best first; at most \a count. */
std::vector<std::uint64_t> relayOrder(std::uint64_t hall, const std::vector<RelayCandidate> &live,
                                      std::size_t count);

/** Size in bytes of the largest object that a relay with a link of \a linkMbps can send to all of
 * \a boxes within \a longestSeconds. Each box reads larger objects from the store. */
std::size_t largestRelayed(double linkMbps, std::size_t boxes, double longestSeconds);

} // namespace limereel::store
