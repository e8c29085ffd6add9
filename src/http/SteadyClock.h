/** \file
 * The steady clock, for time limits of sockets. Decisions get their time handed in instead.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::http {

/** Now, by the clock that timers go by. */
inline kernel::Instant steadyNow()
{
    return std::chrono::time_point_cast<kernel::Duration>(std::chrono::steady_clock::now());
}

} // namespace limereel::http
