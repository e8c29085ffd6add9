/** \file
 * The share of the platform's call rates that one router may use.
 *
 * The platform serves about a hundred writes and two thousand reads a second in total; a waiting
 * watch counts as a read. Each router gets an equal share of three quarters of that, so that the
 * sum of all routers stays within the rates, and a quarter is left for people and tools.
 */
#pragma once

#include <cstddef>

namespace limereel::store {

/** The platform's total rates, in calls per second. */
struct PlatformRates
{
    double reads = 2000;
    double writes = 100;
};

/** The rates of one router, in calls per second. */
struct CallShare
{
    double reads = 0;
    double writes = 0;
};

/** The share of each of \a routers. If their number is unknown (0), a thousand are assumed. */
CallShare callShare(const PlatformRates &rates, std::size_t routers);

} // namespace limereel::store
