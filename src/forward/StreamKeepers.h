/** \file
 * Chooses the boxes that keep the record of a stream: the first ones by rendezvous hashing of its
 * request, of which one is in another hall than the first, so that a hall that is cut off or loses
 * power doesn't take all copies with it. Any box computes the same ones.
 */
#pragma once

#include "forward/StreamTable.h"
#include "membership/BoxState.h"

#include <vector>

namespace limereel::forward {

/** A box that may keep records. */
struct StreamKeeper
{
    std::uint64_t box = 0;
    membership::ShortHash hall = 0;
    std::uint64_t incarnation = 0; ///< A box that has started again has lost its records.

    auto operator<=>(const StreamKeeper &) const = default;
};

/** The first \a count of \a boxes for \a request, best first. */
std::vector<StreamKeeper> keepersOf(const Digest &request, const std::vector<StreamKeeper> &boxes,
                                    std::size_t count);

} // namespace limereel::forward
