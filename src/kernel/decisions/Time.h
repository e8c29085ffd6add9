/** \file
 * Time as the decisions see it: always handed in, never read.
 *
 * Every deadline is on the monotonic clock. A decision that needs the time takes an Instant, so a
 * test can bring about a lapse, a pause or a race without waiting for it.
 */
#pragma once

#include <chrono>

namespace limereel {

// Durations read as 20ms and 15s everywhere in the project.
using namespace std::chrono_literals;

} // namespace limereel

namespace limereel::kernel {

using Duration = std::chrono::microseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Seconds as a fraction, for rates. */
inline double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace limereel::kernel
