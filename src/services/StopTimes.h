/** \file
 * The times of a planned stop, and which requests may still be begun while it goes on.
 *
 * Until the drain the balancer may still send callers to this box, and they are served as usual.
 * After it requests come only on connections that were promised to stay open, or because they were
 * under way. Nobody knows how long such a request takes, but its deadline bounds it: a request
 * whose deadline lies after the end of the process could be cut while it runs, so it is refused at
 * once, not run, and other boxes serve it.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::services {

/** The times of one planned stop. */
struct StopTimes
{
    kernel::Instant drainsAt; ///< Until then the balancer may still send new connections.
    kernel::Instant endsAt;   ///< Requests that still run are aborted then.

    /** Whether a request may be begun that came at \a cameAt and has its final answer at
     * \a deadline at the latest. */
    bool mayBegin(kernel::Instant cameAt, kernel::Instant deadline) const;

    auto operator<=>(const StopTimes &) const = default;
};

} // namespace limereel::services
