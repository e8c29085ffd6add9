/** \file
 * How many of its requests a box sends to the plain servers of its own hall by preference.
 *
 * The load of a plain server is known to nobody as long as its service isn't short: a box of a
 * large fleet runs few of the requests itself. If each box preferred its own hall, a hall with many
 * callers would overload its servers while those of other halls are idle.
 */
#pragma once

#include <cstddef>

namespace limereel::forward {

/** The servers of a service that accept new requests. */
struct HallServers
{
    std::size_t own = 0; ///< Those in the box's hall.
    std::size_t all = 0;
};

/**
 * The share of the requests that prefer the own hall; the others may go to any. Even if all callers
 * are in this hall, its servers then get at most \a loadMultiple times the mean.
 */
double ownHallShare(const HallServers &servers, double loadMultiple);

} // namespace limereel::forward
