#include "membership/BackendHealth.h"

#include <algorithm>

namespace limereel::membership {

namespace {

constexpr int FailuresToOutage = 2;
constexpr int MaxDoublings = 4;
constexpr kernel::Duration ResetAfter = 300s;

} // namespace

void BackendHealth::noteProbeSuccess(std::uint32_t incarnation, kernel::Instant now)
{
    failures_ = 0;
    if (usable_ && now - lastOutage_ > ResetAfter) {
        outages_ = 0;
    }
    const bool restarted = incarnation_ != 0 && incarnation != incarnation_;
    incarnation_ = incarnation;
    if (usable_ && restarted) {
        // The server restarted between two probes.
        noteOutage(now);
    }
    ++successes_;
    usable_ = usable_ || successes_ >= successesNeeded();
}

void BackendHealth::noteUnreachable(kernel::Instant now)
{
    successes_ = 0;
    ++failures_;
    if (usable_ && failures_ >= FailuresToOutage) {
        noteOutage(now);
    }
}

void BackendHealth::noteOutage(kernel::Instant now)
{
    usable_ = false;
    successes_ = 0;
    ++outages_;
    lastOutage_ = now;
}

int BackendHealth::successesNeeded() const
{
    // The first outage counts as an ordinary restart.
    const int doublings = std::clamp(outages_ - 1, 0, MaxDoublings);
    return 1 << doublings;
}

} // namespace limereel::membership
