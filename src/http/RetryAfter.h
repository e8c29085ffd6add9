/** \file
 * The Retry-After field of an answer (RFC 9110, 10.2.3): a number of seconds or a date.
 */
#pragma once

#include "http/Message.h"
#include "kernel/decisions/Time.h"

#include <chrono>
#include <optional>

namespace limereel::http {

/** The longest wait that is told apart from longer ones. */
constexpr kernel::Duration LongestRetryAfter = std::chrono::hours(24);

/** What an answer says of when to come back. */
struct RetryAfter
{
    std::optional<kernel::Duration> wait; ///< Nothing: it doesn't say, or not readably.
    bool unreadable = false;              ///< A field can't be read.

    auto operator<=>(const RetryAfter &) const = default;
};

/**
 * Reads the Retry-After fields of an answer. Seconds may have a fraction. Where there are several
 * values, the longest readable one counts, so that nobody comes back sooner than was asked. A date
 * is taken against the answer's own Date field. What is neither, such as nothing, a negative number
 * or "inf", is unreadable.
 *
 * \param now the time of day, for answers without a readable Date.
 */
RetryAfter retryAfter(const Fields &fields, std::chrono::system_clock::time_point now);

} // namespace limereel::http
