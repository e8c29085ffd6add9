#include "admission/ServerCapacity.h"

#include <algorithm>
#include <cmath>

namespace limereel::admission {

using kernel::Duration;
using kernel::Instant;

void ServerCapacity::setSlots(std::uint32_t slots)
{
    if (slots == 0) {
        return;
    }
    const double before = most();
    slots_ = slots;
    limit_ = std::clamp(limit_ * most() / before, 1.0, most());
}

std::uint32_t ServerCapacity::limit() const
{
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(limit_)));
}

void ServerCapacity::noteServed(Duration held)
{
    const Duration counted = std::max(held, Duration(1));
    if (meanHold_ == Duration::zero()) {
        meanHold_ = counted;
    } else {
        const double mean = static_cast<double>(meanHold_.count());
        const double change = policy_.holdWeight * (static_cast<double>(counted.count()) - mean);
        meanHold_ = Duration(std::max<std::int64_t>(1, std::llround(mean + change)));
    }
    limit_ = std::min(most(), limit_ + 1 / limit_);
}

void ServerCapacity::noteRejected(Instant now)
{
    if (decreasedAt_ && now - *decreasedAt_ < std::max(policy_.minRound, meanHold_)) {
        return;
    }
    decreasedAt_ = now;
    limit_ = std::max(1.0, limit_ * policy_.decrease);
}

double ServerCapacity::freedPerSecond() const
{
    // Little's law: places that are all taken, over the time for which each is held.
    return meanHold_ == Duration::zero() ? 0 : limit() / kernel::seconds(meanHold_);
}

Duration ServerCapacity::expectedWait(std::size_t ahead) const
{
    const double places = limit();
    const double holds = static_cast<double>(ahead + 1) / places;
    return Duration(std::llround(holds * static_cast<double>(meanHold_.count())));
}

double ServerCapacity::most() const
{
    return slots_ + std::max(1.0, slots_ * policy_.ahead);
}

} // namespace limereel::admission
