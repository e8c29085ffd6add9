#include "admission/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace limereel::admission {

using kernel::Duration;
using kernel::Instant;

bool TokenBucket::take(Instant now)
{
    fill(now);
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

Duration TokenBucket::wait(Instant now)
{
    fill(now);
    if (tokens_ >= 1) {
        return Duration::zero();
    }
    if (rate_ <= 0) {
        return Duration::max();
    }
    constexpr double MicrosPerSecond = 1e6;
    return Duration(static_cast<std::int64_t>(std::ceil((1 - tokens_) / rate_ * MicrosPerSecond)));
}

void TokenBucket::setRate(double rate, double burst, Instant now)
{
    fill(now);
    rate_ = rate;
    burst_ = burst;
    tokens_ = std::min(tokens_, burst_);
}

void TokenBucket::fill(Instant now)
{
    if (now <= lastFilled_) {
        return;
    }
    tokens_ = std::min(burst_, tokens_ + rate_ * kernel::seconds(now - lastFilled_));
    lastFilled_ = now;
}

} // namespace limereel::admission
