/** \file
 * How long a server's answers take at present, smoothed over the last few of them. Answers servers
 * of one service that differ in speed: with equal shares, the slowest decides how many answers are
 * late.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::forward {

/** The pace of one server. Deterministic: callers pass in the current time. */
class AnswerPace
{
public:
    /** Records an answer that took \a taken. */
    void note(kernel::Duration taken, kernel::Instant now);

    /** The smoothed time of an answer; zero if none came lately. */
    kernel::Duration mean(kernel::Instant now) const;

    /** The same, decayed since the last answer, so that a slow server is tried again after some
     * seconds. */
    kernel::Duration current(kernel::Instant now) const;

private:
    kernel::Duration mean_{};
    kernel::Instant notedAt_;
};

/** How much longer an answer takes than the \a best one of the service: 1 for one that is as fast,
 * and for all differences that come and go with the noise of a shared machine. */
double paceFactor(kernel::Duration pace, kernel::Duration best);

} // namespace limereel::forward
