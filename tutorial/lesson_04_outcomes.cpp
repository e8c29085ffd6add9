// Lesson 4: what may be said of a request that failed, and how a keyed one runs at most once.

#include "outcome/Attempt.h"
#include "outcome/AttemptSummary.h"
#include "outcome/Claim.h"

#include <iostream>

using namespace limereel::outcome;

int main()
{
    // The connection broke after everything was sent: nobody knows whether it ran.
    const Verdict lost =
            classifyFailure(FailurePoint::AllSent, {.repeatable = false, .callerHasBytes = false});
    std::cout << info(lost.code).name << ": " << text(lost.ran) << ", "
              << (lost.mayRetry ? "may" : "may not") << " be repeated\n";

    // A second attempt that surely didn't run doesn't make the first one undone.
    AttemptSummary story;
    story.add(
            classifyFailure(FailurePoint::AllSent, {.repeatable = true, .callerHasBytes = false}));
    const Verdict told = story.finalVerdict({ResultCode::EnginesFull, Ran::NotRun, false});
    std::cout << "in the end: " << text(told.ran) << '\n';

    // The platform took the claim and its answer was lost. The object names the attempt, so it is
    // read back.
    Claim claim("attempt-1", 4);
    ClaimStep step = claim.begin();
    step = claim.onCreate(StoreAnswer::Lost);
    const bool reads = step == ClaimStep::Read;
    step = claim.onRead(StoreAnswer::Done, "attempt-1");
    std::cout << "the claim is " << (step == ClaimStep::Send ? "ours: send" : "not ours") << '\n';
    return !lost.mayRetry && told.ran == Ran::Unknown && reads && step == ClaimStep::Send ? 0 : 1;
}
