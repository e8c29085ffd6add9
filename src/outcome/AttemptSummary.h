/** \file
 * Determines what can truthfully be reported about a request after several attempts.
 *
 * The last attempt may not have run although an earlier one did. The verdict of the attempt that
 * came furthest is then reported, so that "not run" is said only if no attempt ran.
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
     * The verdict on the request, if \a last is the reason to give it up. If \a last says only that
     * no engine is left and attempts have failed before, the verdict of the latest of these is
     * returned.
     */
    Verdict finalVerdict(const Verdict &last) const;

    /** Whether none of the failed attempts may have run. */
    bool noAttemptRan() const { return furthest_.ran == Ran::NotRun; }

private:
    Verdict furthest_{ResultCode::Ok, Ran::NotRun, false};
    Verdict latest_{ResultCode::Ok, Ran::NotRun, false};
};

} // namespace limereel::outcome
