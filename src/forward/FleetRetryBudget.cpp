#include "forward/FleetRetryBudget.h"

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
    if (slices.empty() || now - slices.back().begin >= length) {
        slices.push_back({now, 0, 0});
    }
    while (now - slices.front().begin > bound_.window + length) {
        slices.pop_front();
    }
    return slices.back();
}

void FleetRetryBudget::countRequest(const std::string &service, kernel::Instant now)
{
    current(service, now).requests += 1;
}

double FleetRetryBudget::left(const std::string &service, kernel::Instant now)
{
    current(service, now);
    double requests = 0;
    double repeats = 0;
    for (const Slice &slice : services_[service]) {
        requests += slice.requests;
        repeats += slice.repeats;
    }
    const double allowed = bound_.ratio * requests * ratioPart_ + bound_.slack * slackPart_;
    return allowed * SafePart - repeats;
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
