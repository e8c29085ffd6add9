/** \file
 * What a request that made several attempts may truthfully be told in the end.
 *
 * The last attempt may not have run while an earlier one did. What is said of the request is then
 * the word of the attempt that came furthest, so that "not run" is said only if no attempt ran.
 */
#pragma once

#include "outcome/Attempt.h"

namespace limereel::outcome {

/** Collects the verdicts of one request's attempts. */
class AttemptSummary
{
public:
    /** Adds an attempt that failed. */
    void add(const Verdict &verdict);

    /**
     * The code and the truth for the request, if \a last is the reason it is given up on. That
     * nothing is left to try is no news after attempts that failed: then the latest of these is
     * told.
     */
    Verdict finalVerdict(const Verdict &last) const;

    /** Whether nothing that failed so far ran. */
    bool noAttemptRan() const { return furthest_.ran == Ran::NotRun; }

private:
    Verdict furthest_{ResultCode::Ok, Ran::NotRun, false};
    Verdict latest_{ResultCode::Ok, Ran::NotRun, false};
};

} // namespace limereel::outcome
