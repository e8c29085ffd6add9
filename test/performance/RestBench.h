/** \file
 * What the ways of coming back to a server after its rest cost and save: the real choice of servers
 * at each of many boxes, servers that turn requests away when they are full and ask for rest, and a
 * surge. No network.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace limereel::performance {

/** What is run. */
struct RestCase
{
    std::string way; ///< See restWays().
    std::size_t boxes = 6;
    kernel::Duration rest = 3s; ///< What a full server asks for.
    std::uint64_t seed = 1;
};

/** What came of it. */
struct RestResult
{
    double served = 0;       ///< Part of what an oracle serves that knows each server's places.
    double turnedAway = 0;   ///< Sends that a server turned away, for each request.
    double intoRest = 0;     ///< Sends to a server that the box knew to rest, for each request.
    double refusedTwice = 0; ///< Callers that came back and were refused, for each request.
    double herd = 0; ///< Most sends to one server within 50 ms, as a multiple of its places, after
                     ///< the surge.
};

std::vector<std::string> restWays();

RestResult runRests(const RestCase &what);

} // namespace limereel::performance
