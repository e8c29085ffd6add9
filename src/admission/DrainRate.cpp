#include "admission/DrainRate.h"

#include <algorithm>
#include <cmath>

namespace limereel::admission {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr Duration Window = 1s;
constexpr double HalfLifeSeconds = 5;
constexpr double MinSeconds = 1;
constexpr double MaxSeconds = 60;
constexpr double Jitter = 0.5;
constexpr double MicrosPerSecond = 1e6;

} // namespace

void DrainRate::noteEnd(Instant now)
{
    roll(now);
    ends_ += 1;
}

void DrainRate::noteRefusal(Instant now)
{
    roll(now);
    refusals_ += 1;
}

double DrainRate::perSecond(Instant now)
{
    roll(now);
    return endRate_;
}

Duration DrainRate::retryDelay(Instant now, std::mt19937_64 &random)
{
    roll(now);
    // The callers refused in a second all fit only after as many requests have ended.
    const double waiting = std::max(refusals_, refusalRate_) + 1;
    const double drain = std::max(endRate_, ends_);
    const double base = drain > 0 ? waiting / drain : MaxSeconds / 4;
    const double bounded = std::clamp(base, MinSeconds, MaxSeconds);
    const double spread = std::uniform_real_distribution<double>(0, Jitter)(random);
    return Duration(static_cast<std::int64_t>(bounded * (1 + spread) * MicrosPerSecond));
}

void DrainRate::roll(Instant now)
{
    const Duration passed = now - since_;
    if (passed < Window) {
        return;
    }
    const double length = kernel::seconds(passed);
    const double keep = measured_ ? std::exp2(-length / HalfLifeSeconds) : 0;
    endRate_ = endRate_ * keep + ends_ / length * (1 - keep);
    refusalRate_ = refusalRate_ * keep + refusals_ / length * (1 - keep);
    measured_ = true;
    ends_ = 0;
    refusals_ = 0;
    since_ = now;
}

} // namespace limereel::admission
