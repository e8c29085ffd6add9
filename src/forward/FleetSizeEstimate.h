/** \file
 * Estimates the size of the fleet for a box that shares a limit with the others.
 *
 * A box that is cut off or has just started sees few others. If it divided the limit by that
 * number, the parts of a fleet would together exceed the limit several times over. So the largest
 * number seen recently counts, and before any was seen, a cautious guess.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>

namespace limereel::forward {

/** The settings of the estimate. */
struct FleetSizeEstimatePolicy
{
    std::size_t guess = 32;         ///< Estimate until the other boxes can be known.
    kernel::Duration guessFor = 3s; ///< How long the guess holds, from the first call of note().
    kernel::Duration rememberedFor = 60s; ///< How long a larger fleet is remembered.
};

/** The estimate of one box. Deterministic: callers pass in the current time. */
class FleetSizeEstimate
{
public:
    explicit FleetSizeEstimate(FleetSizeEstimatePolicy policy = {})
        : policy_(policy)
        , boxes_(policy.guess)
    {
    }

    /** Records how many boxes are seen now. \return the estimate. */
    std::size_t note(std::size_t seen, kernel::Instant now);

private:
    FleetSizeEstimatePolicy policy_;
    std::size_t boxes_;
    bool called_ = false;    ///< Whether note() was called.
    bool guessed_ = true;    ///< Whether \c boxes_ is still the guess.
    kernel::Instant seenAt_; ///< When \c boxes_ was last seen.
};

} // namespace limereel::forward
