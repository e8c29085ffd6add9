/** \file
 * A randomized fault soak: gateways as real processes between a store, backend servers and callers
 * that live in this process; faults come from outside, by signals and proxies, in series and
 * overlapping. The promises are checked while it runs, and that all serve again once it is over.
 *
 * Chance comes from one seed. What happens also depends on how the processes are scheduled, so a
 * seed that failed is likely, not certain, to fail again.
 */
#pragma once

#include "platform/soak/SoakJudge.h"
#include "platform/soak/SoakPlan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace limereel::soak {

/** What came of it. */
struct SoakReport
{
    std::size_t attempts = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t cut = 0;
    std::size_t takeUps = 0;         ///< Streams that callers asked to take up,
    std::size_t takenUp = 0;         ///< so many of them went on.
    std::size_t ends = 0;            ///< Servers that requests have ended,
    std::size_t endsJudged = 0;      ///< so many of them by boxes that had the time to know.
    std::size_t sends = 0;           ///< Requests that reached a server,
    std::size_t rejections = 0;      ///< so many of them found its slots and queue taken.
    RepeatWindow repeats;            ///< Where least was left of those that are allowed.
    std::vector<std::string> faults; ///< Each with its moment, in seconds.
    kernel::Duration recovery{};     ///< From the last fault's end until all boxes serve all kinds.
    std::vector<Violation> violations;
};

/** Plays \a plan. */
SoakReport playSoak(const SoakPlan &plan);

} // namespace limereel::soak
