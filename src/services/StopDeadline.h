/** \file
 * Decides when a planned stop aborts the requests that still run: at the stop's deadline, or
 * shortly after it if the process stalled.
 *
 * A stop polls whether all requests are finished. If the process stalls past the deadline, requests
 * and answers that arrived in time are still unread at the next poll. The deadline is therefore
 * extended once, by a short time; extending it more often would exceed the platform's own deadline.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::services {

/** The schedule of a planned stop. */
struct StopSchedule
{
    kernel::Instant start;                ///< When polling began; counts as the first poll.
    kernel::Instant deadline;             ///< When the remaining requests are aborted.
    kernel::Duration pollInterval{};      ///< Time between two polls.
    kernel::Duration deadlineExtension{}; ///< Least time left after a stall; granted once.
};

/** The deadline of one planned stop. Reads no clock: the caller passes the time. */
class StopDeadline
{
public:
    explicit StopDeadline(const StopSchedule &schedule)
        : schedule_(schedule)
        , lastPoll_(schedule.start)
    {
    }

    /** Records a poll at \a now. \return whether the remaining requests are to be aborted. */
    bool expired(kernel::Instant now);

private:
    StopSchedule schedule_;
    kernel::Instant lastPoll_; ///< Time of the last poll.
    bool extended_ = false;
};

} // namespace limereel::services
