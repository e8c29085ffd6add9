/** \file
 * When a planned stop cuts what still runs: at its end, but not before what arrived while the
 * process stood still was handled.
 *
 * A stop looks again and again whether everything is finished. If the process stands still past the
 * end, requests and answers that came in time lie unread when the next look is made. They get one
 * short respite; more would pass the end that the platform keeps itself.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::services {

/** The times of a stop. */
struct StopSchedule
{
    kernel::Instant start;                ///< When the first look was due.
    kernel::Instant deadline;             ///< What runs then is cut.
    kernel::Duration pollInterval{};      ///< Between two looks.
    kernel::Duration deadlineExtension{}; ///< After a standstill that passes the end.
};

/** The end of one stop. Pure: time is handed in. */
class StopDeadline
{
public:
    explicit StopDeadline(const StopSchedule &times)
        : times_(times)
        , looked_(times.start)
    {
    }

    /** Whether what still runs at a look at \a now is cut. */
    bool expired(kernel::Instant now);

private:
    StopSchedule times_;
    kernel::Instant looked_; ///< The last look.
    bool respited_ = false;
};

} // namespace limereel::services
