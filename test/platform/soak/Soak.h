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

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace limereel::soak {

/** What to play. */
struct SoakPlan
{
    std::uint64_t seed = 1;
    kernel::Duration faultsFor = 20s;
    std::size_t boxes = 3;
    std::size_t servers = 4;
    std::size_t callers = 8;

    /** Servers stand in two halls, which are drained now and then, and are cold after a start. Off
     * for the seeds that were found without. */
    bool serverStates = false;

    /** Some requests end each server that begins to run them. */
    bool crashing = false;

    /** The same of requests with one part of a prompt, no two of which are alike. */
    bool crashingParts = false;

    /** Servers have few slots and a short queue and are slow at times, callers ask for more than
     * they can run at times, and one organisation sends most of it. Gateways have admission. */
    bool scarce = false;

    /** Servers of three software versions stand side by side and are replaced by others, some
     * crash, and callers take broken streams up at any box. */
    bool versions = false;
    std::filesystem::path folder; ///< For settings and logs.
};

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
    std::vector<std::string> faults; ///< Each with its moment, in seconds.
    kernel::Duration recovery{};     ///< From the last fault's end until all boxes serve all kinds.
    std::vector<Violation> violations;
};

/** Plays \a plan. */
SoakReport playSoak(const SoakPlan &plan);

} // namespace limereel::soak
