/** \file
 * The budget for retries, which the whole fleet shares: in any window, a ratio of the requests plus
 * a slack. Each box spends its own part without asking the others: the ratio of its own requests,
 * and its part of the slack (see FleetShare).
 *
 * A part holds in every window that ends now or later, as the limit does: requests that earned
 * retries may lie before a window that the retries lie in.
 *
 * Retries after a rejection by a backend server count too, so that an overloaded service isn't
 * flooded.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <deque>
#include <map>
#include <string>

namespace limereel::forward {

/** The limit on retries of the whole fleet. */
struct RetryBound
{
    double ratio = 0;
    kernel::Duration window{};
    double slack = 0;

    auto operator<=>(const RetryBound &) const = default;
};

/** One box's part of the budget, for each service. */
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(RetryBound bound)
        : bound_(bound)
    {
    }

    /** Replaces the limit of the whole fleet. */
    void setBound(RetryBound bound) { bound_ = bound; }

    /** Sets how many boxes share the slack. */
    void setBoxes(std::size_t boxes)
    {
        slackPart_ = 1 / static_cast<double>(boxes == 0 ? 1 : boxes);
    }

    /** Sets this box's part of the slack, 0 to 1, and of the ratio of its own requests. */
    void setParts(double slackPart, double ratioPart)
    {
        slackPart_ = slackPart;
        ratioPart_ = ratioPart;
    }

    /** Counts a caller's request for \a service. */
    void countRequest(const std::string &service, kernel::Instant now);

    /** Spends one retry. \return false if this box's part is used up. */
    bool take(const std::string &service, kernel::Instant now);

    /** Retries that are left now. */
    double left(const std::string &service, kernel::Instant now);

private:
    struct Slice
    {
        kernel::Instant begin;
        double requestsBefore = 0; ///< Of all slices before it.
        double requests = 0;
        double repeats = 0;
    };

    Slice &current(const std::string &service, kernel::Instant now);
    static double requestsUntil(const std::deque<Slice> &slices, kernel::Instant moment);
    double countedRequests(const std::deque<Slice> &slices, kernel::Instant begin,
                           kernel::Instant now) const;

    RetryBound bound_;
    double slackPart_ = 1;
    double ratioPart_ = 1;
    std::map<std::string, std::deque<Slice>> services_;
};

} // namespace limereel::forward
