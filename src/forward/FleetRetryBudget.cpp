#include "forward/FleetRetryBudget.h"

#include <algorithm>
#include <limits>

namespace limereel::forward {

namespace {

constexpr int SlicesInWindow = 20;
// The windows of boxes aren't aligned and requests are spread unevenly over boxes, so each box
// spends only this part.
constexpr double SafePart = 0.8;

} // namespace

FleetRetryBudget::Slice &FleetRetryBudget::current(const std::string &service, kernel::Instant now)
{
    std::deque<Slice> &slices = services_[service];
    const kernel::Duration length = bound_.window / SlicesInWindow;
    if (slices.empty()) {
        slices.push_back({.begin = now});
    } else if (now - slices.back().begin >= length) {
        const double before = slices.back().requestsBefore + slices.back().requests;
        slices.push_back({.begin = now, .requestsBefore = before});
    }
    // A window may be held against the requests of the one before it.
    while (now - slices.front().begin > 2 * bound_.window + length) {
        slices.pop_front();
    }
    return slices.back();
}

void FleetRetryBudget::countRequest(const std::string &service, kernel::Instant now)
{
    current(service, now).requests += 1;
}

// The requests of slices that begin before \a moment.
double FleetRetryBudget::requestsUntil(const std::deque<Slice> &slices, kernel::Instant moment)
{
    const auto next = std::ranges::lower_bound(slices, moment, {}, &Slice::begin);
    return next == slices.end() ? slices.back().requestsBefore + slices.back().requests
                                : next->requestsBefore;
}

// The requests that the limit counts for a window that began at \a begin: its own, those of the
// window before it, or those of the one half a window before it.
double FleetRetryBudget::countedRequests(const std::deque<Slice> &slices, kernel::Instant begin,
                                         kernel::Instant now) const
{
    const kernel::Duration window = bound_.window;
    const double before = requestsUntil(slices, begin);
    const double own = slices.back().requestsBefore + slices.back().requests - before;
    if (now - begin >= window) {
        return own;
    }
    const double earlier = before - requestsUntil(slices, begin - window);
    const double middle =
            requestsUntil(slices, begin + window / 2) - requestsUntil(slices, begin - window / 2);
    return std::max({own, earlier, middle});
}

double FleetRetryBudget::left(const std::string &service, kernel::Instant now)
{
    current(service, now);
    const std::deque<Slice> &slices = services_[service];
    const kernel::Instant oldest = now - bound_.window - bound_.window / SlicesInWindow;
    const double slack = bound_.slack * slackPart_;
    double repeats = 0;
    double least = std::numeric_limits<double>::max();
    for (auto slice = slices.rbegin(); slice != slices.rend() && slice->begin >= oldest; ++slice) {
        repeats += slice->repeats;
        const double requests = countedRequests(slices, slice->begin, now);
        const double allowed = bound_.ratio * ratioPart_ * requests + slack;
        least = std::min(least, allowed * SafePart - repeats);
    }
    return least;
}

bool FleetRetryBudget::take(const std::string &service, kernel::Instant now)
{
    if (left(service, now) < 1) {
        return false;
    }
    current(service, now).repeats += 1;
    return true;
}

} // namespace limereel::forward
