/** \file
 * The part of the platform's call rates that one router may use.
 *
 * The platform serves about a hundred writes and two thousand reads a second for everybody; a
 * waiting watch counts as a read. Each router takes an equal part of three quarters of that, so the
 * sum stays within the rates whatever the routers do, and a part is left for people and tools.
 */
#pragma once

#include <cstddef>

namespace limereel::store {

/** The platform's rates for everybody, calls a second. */
struct PlatformRates
{
    double reads = 2000;
    double writes = 100;
};

/** One router's rates, calls a second. */
struct CallShare
{
    double reads = 0;
    double writes = 0;
};

/** The part of one of \a routers. An unknown fleet (0) is taken as one of a thousand. */
CallShare callShare(const PlatformRates &rates, std::size_t routers);

} // namespace limereel::store
