/** \file
 * Decides whether a failed attempt is retried, or which result the caller gets instead.
 */
#pragma once

#include "outcome/Attempt.h"
#include "outcome/RetryBudget.h"

namespace limereel::outcome {

/** What follows a failed attempt. */
struct NextStep
{
    bool retry = false;
    Verdict verdict; ///< The result for the caller if there is no retry.

    auto operator<=>(const NextStep &) const = default;
};

/**
 * Decides what follows attempt \a number, which failed with \a verdict. A retry is taken from \a
 * budget; if that is spent and nothing ran, the result says so.
 */
NextStep afterFailure(const Verdict &verdict, int number, int maxAttempts, RetryBudget &budget);

} // namespace limereel::outcome
