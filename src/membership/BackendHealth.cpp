#include "membership/BackendHealth.h"

#include <algorithm>

namespace limereel::membership {

namespace {

constexpr int BadsToFall = 2;
constexpr int MostDoublings = 4;
constexpr kernel::Duration ForgiveAfter = 300s;

} // namespace

void BackendHealth::noteProbeSuccess(std::uint32_t incarnation, kernel::Instant now)
{
    bads_ = 0;
    if (usable_ && now - fell_ > ForgiveAfter) {
        falls_ = 0;
    }
    const bool restarted = incarnation_ != 0 && incarnation != incarnation_;
    incarnation_ = incarnation;
    if (usable_ && restarted) {
        // It fell and came back between two probes.
        fall(now);
    }
    ++goods_;
    usable_ = usable_ || goods_ >= goodsNeeded();
}

void BackendHealth::noteUnreachable(kernel::Instant now)
{
    goods_ = 0;
    ++bads_;
    if (usable_ && bads_ >= BadsToFall) {
        fall(now);
    }
}

void BackendHealth::fall(kernel::Instant now)
{
    usable_ = false;
    goods_ = 0;
    ++falls_;
    fell_ = now;
}

int BackendHealth::goodsNeeded() const
{
    // The first fall is an ordinary restart.
    const int doublings = std::clamp(falls_ - 1, 0, MostDoublings);
    return 1 << doublings;
}

} // namespace limereel::membership
