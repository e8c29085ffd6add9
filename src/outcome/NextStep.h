/** \file
 * Whether a failed attempt is followed by another, or what the caller is told instead.
 */
#pragma once

#include "outcome/Attempt.h"
#include "outcome/RetryBudget.h"

namespace limereel::outcome {

/** What follows a failed attempt. */
struct NextStep
{
    bool again = false;
    Verdict verdict; ///< To be told if there is no other attempt.

    auto operator<=>(const NextStep &) const = default;
};

/**
 * Decides what follows attempt \a number, which failed with \a verdict. A retry is taken out of \a
 * budget; if that is spent and nothing ran, the caller is told so.
 */
NextStep afterFailure(const Verdict &verdict, int number, int maxAttempts, RetryBudget &budget);

} // namespace limereel::outcome
