/** \file
 * An approximate count of the events in the last span of time. It decays exponentially, so one
 * number replaces a list of times.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::forward {

/** A decaying count. Deterministic: callers pass in the current time. */
class RecentCount
{
public:
    /** \param span about how long an event counts. */
    explicit RecentCount(kernel::Duration span)
        : span_(span)
    {
    }

    /** Counts one event. \return the new count. */
    double add(kernel::Instant now);

    /** The count at \a now. */
    double value(kernel::Instant now) const;

private:
    kernel::Duration span_;
    double count_ = 0;
    kernel::Instant at_;
};

} // namespace limereel::forward
