/** \file
 * Time that goes on only while this process is awake.
 *
 * While a process stands still, what other processes tell it lies unread and what it tells itself
 * waits for its timers; what comes meanwhile may be lost. So a lease that others keep alive must
 * not run out in a standstill of the one who counts it.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <optional>

namespace limereel::kernel {

/** The time of one process. Pure: the steady clock's time is handed in. */
class AwakeTime
{
public:
    /** \param period in which at() is called at least. A call that is half a period late is
     * ordinary on a busy box; what is beyond was a standstill. */
    explicit AwakeTime(Duration period)
        : longest_(period * 3 / 2)
    {
    }

    /** The awake time at \a now of the steady clock. */
    Instant at(Instant now);

private:
    Duration longest_; ///< Between two calls.
    Duration stoodStill_{};
    std::optional<Instant> last_;
};

} // namespace limereel::kernel
