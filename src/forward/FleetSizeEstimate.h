/** \file
 * How many boxes a fleet is taken to have by one that shares a bound with the others.
 *
 * A box that is cut off, or that has just started, sees few others; if it divided the bound by
 * those, the parts of a fleet would together spend it several times over. So the greatest number
 * that was seen lately counts, and before anything was seen, a cautious guess.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>

namespace limereel::forward {

/** The settings of the memory. */
struct FleetSizeEstimatePolicy
{
    std::size_t guess = 32;               ///< Before the others can have been heard of.
    kernel::Duration guessFor = 3s;       ///< From the first word.
    kernel::Duration rememberedFor = 60s; ///< How long a greater fleet is remembered.
};

/** The memory of one box. Pure: time is handed in. */
class FleetSizeEstimate
{
public:
    explicit FleetSizeEstimate(FleetSizeEstimatePolicy policy = {})
        : policy_(policy)
        , boxes_(policy.guess)
    {
    }

    /** Takes in how many boxes are seen now. \return how many count. */
    std::size_t note(std::size_t seen, kernel::Instant now);

private:
    FleetSizeEstimatePolicy policy_;
    std::size_t boxes_;
    bool heard_ = false;  ///< Some word came.
    bool guessed_ = true; ///< boxes_ is the guess.
    kernel::Instant at_;  ///< When boxes_ was last seen.
};

} // namespace limereel::forward
