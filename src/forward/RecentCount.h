/** \file
 * How many events fell into the last span of time, fading instead of forgetting at an edge: one
 * number in place of a list of times.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::forward {

/** A fading count. Pure: time is handed in. */
class RecentCount
{
public:
    /** Events count for about \a span. */
    explicit RecentCount(kernel::Duration span)
        : span_(span)
    {
    }

    /** Counts one event. \return the count with it. */
    double add(kernel::Instant now);

    /** The count. */
    double value(kernel::Instant now) const;

private:
    kernel::Duration span_;
    double count_ = 0;
    kernel::Instant at_;
};

} // namespace limereel::forward
