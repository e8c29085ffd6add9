/** \file
 * How long to wait before asking the platform again: exponential, with full jitter, so that a
 * fleet that lost the platform together doesn't come back together.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <random>

namespace limereel::store {

/** The wait after a row of failures. */
class Backoff
{
public:
    Backoff(kernel::Duration first, kernel::Duration most)
        : first_(first)
        , most_(most)
    {
    }

    /** Counts a failure and gives the wait that follows it: between half of and the whole step. */
    kernel::Duration fail(std::mt19937_64 &random);

    void succeed() { failures_ = 0; }
    int failures() const { return failures_; }

private:
    kernel::Duration first_;
    kernel::Duration most_;
    int failures_ = 0;
};

} // namespace limereel::store
