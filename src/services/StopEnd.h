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
struct StopTimes
{
    kernel::Instant begun;        ///< When the first look was due.
    kernel::Instant end;          ///< What runs then is cut.
    kernel::Duration lookEvery{}; ///< Between two looks.
    kernel::Duration respite{};   ///< After a standstill that passes the end.
};

/** The end of one stop. Pure: time is handed in. */
class StopEnd
{
public:
    explicit StopEnd(const StopTimes &times)
        : times_(times)
        , looked_(times.begun)
    {
    }

    /** Whether what still runs at a look at \a now is cut. */
    bool over(kernel::Instant now);

private:
    StopTimes times_;
    kernel::Instant looked_; ///< The last look.
    bool respited_ = false;
};

} // namespace limereel::services
