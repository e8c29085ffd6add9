#include "outcome/NextStep.h"

namespace limereel::outcome {

NextStep afterFailure(const Verdict &verdict, int number, int maxAttempts, RetryBudget &budget)
{
    if (!verdict.mayRetry || number >= maxAttempts) {
        return {false, {verdict.code, verdict.ran, false}};
    }
    if (budget.spend()) {
        return {true, verdict};
    }
    const ResultCode code =
            verdict.ran == Ran::NotRun ? ResultCode::RetryBudgetSpent : verdict.code;
    return {false, {code, verdict.ran, false}};
}

} // namespace limereel::outcome
