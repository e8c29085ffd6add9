/** \file
 * How long the callers of each route say that they will wait. A caller that tries again has less
 * time left than at its first try, so a request that states less than the callers of its route
 * usually do is taken for a repetition, and the difference for the time since the first try: that
 * is when the caller's objective began to count.
 *
 * Answers a shortage, in which refused callers return: without this, their requests would compete
 * with those that can still be answered in time.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <map>
#include <string>

namespace limereel::forward {

/** The usual timeouts of the callers of each route. */
class CallerTimeouts
{
public:
    /** Records that a caller of \a route said that it waits for \a stated; zero: it didn't say. */
    void note(const std::string &route, kernel::Duration stated);

    /** The time since the first try of a request whose caller waits for \a stated; zero if it is
     * the first one, or if the callers of \a route have no usual timeout. */
    kernel::Duration sinceFirstTry(const std::string &route, kernel::Duration stated) const;

private:
    /** The value stated most, by a majority vote in constant space (Boyer and Moore, 1981). */
    struct Vote
    {
        kernel::Duration usual{};
        int votes = 0;
    };

    std::map<std::string, Vote> routes_;
};

} // namespace limereel::forward
