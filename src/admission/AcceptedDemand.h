/** \file
 * The rate at which a server's owner has lately accepted requests that can be in time, by priority,
 * and what it leaves to others. A request waits longer than the queue before it suggests, since
 * requests of higher priority that arrive later go first.
 */
#pragma once

#include "forward/RecentCount.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>

namespace limereel::admission {

/** The expected wait where no place is left, and the longest that is computed. Far above the time
 * for which requests usually may wait, so that they are refused. */
constexpr kernel::Duration LongestWait = 3600s;

/** The demand at one server. Deterministic: callers pass in the current time. */
class AcceptedDemand
{
public:
    /** Records a request that can be in time and got a place or waits for one. */
    void note(std::uint32_t priority, kernel::Instant now);

    /** Requests a second of higher priority than \a priority. */
    double higherThan(std::uint32_t priority, kernel::Instant now) const;

    /** Requests a second of all priorities: these go before late ones. */
    double all(kernel::Instant now) const;

    /** The lower of the rates over the short and the long span, of all priorities. Waiting requests
     * are refused only on this, since the rate over the short span exceeds the capacity by chance.
     */
    double allSustained(kernel::Instant now) const;

private:
    static constexpr kernel::Duration ShortSpan = 1s;
    static constexpr kernel::Duration LongSpan = 5s;

    struct Counts
    {
        forward::RecentCount lately{ShortSpan};
        forward::RecentCount longer{LongSpan};
    };

    std::map<std::uint32_t, Counts> byPriority_;
};

/** The expected wait of a request that would wait for \a wait if all of the \a freedPerSecond
 * places that come free went to the queue, while \a competingPerSecond of them go to requests that
 * arrive later. */
kernel::Duration waitWithCompetition(kernel::Duration wait, double freedPerSecond,
                                     double competingPerSecond);

/** Places a second that \a competingPerSecond requests leave to returning callers. Some are always
 * counted on, since the demand may fall before a caller returns. */
double spareForReturns(double freedPerSecond, double competingPerSecond);

/** The longest delay told to a caller that stands behind a wait of \a wait: its wait if no more
 * places come free for it than are always counted on. */
kernel::Duration longestReturn(kernel::Duration wait);

} // namespace limereel::admission
