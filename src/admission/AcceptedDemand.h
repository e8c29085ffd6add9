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

/** The longest wait that is told, also where no place is left. */
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

    /** The same as far as it has lasted for some seconds. Waiting requests are refused only on
     * this, since the short count alone exceeds the capacity by chance. */
    double allSteadily(kernel::Instant now) const;

private:
    struct Counts
    {
        forward::RecentCount lately{1s};
        forward::RecentCount longer{5s};
    };

    std::map<std::uint32_t, Counts> byPriority_;
};

/** The wait of a request that waits for \a wait when \a freedPerSecond places come free, if
 * \a competingPerSecond of them go to requests that arrive later. */
kernel::Duration waitBesides(kernel::Duration wait, double freedPerSecond,
                             double competingPerSecond);

/** Places a second that \a competingPerSecond requests leave to returning callers. Some are always
 * counted on, since the demand may fall before a caller returns. */
double spareForReturns(double freedPerSecond, double competingPerSecond);

/** The longest delay told to a caller that stands behind a wait of \a wait: its wait if no more
 * places come free for it than are always counted on. */
kernel::Duration longestReturn(kernel::Duration wait);

} // namespace limereel::admission
