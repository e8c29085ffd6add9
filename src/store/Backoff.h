/** \file
 * Exponential backoff with jitter for calls to the platform, so that boxes that lost the platform
 * at the same time don't retry at the same time.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <random>

namespace limereel::store {

/** Computes the wait after consecutive failures. */
class Backoff
{
public:
    Backoff(kernel::Duration first, kernel::Duration maxStep)
        : first_(first)
        , maxStep_(maxStep)
    {
    }

    /** Counts a failure and returns the wait after it, between half of the step and the step. */
    kernel::Duration fail(std::mt19937_64 &random);

    void succeed() { failures_ = 0; }
    int failures() const { return failures_; }

private:
    kernel::Duration first_;
    kernel::Duration maxStep_;
    int failures_ = 0;
};

} // namespace limereel::store
