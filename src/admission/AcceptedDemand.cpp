#include "admission/AcceptedDemand.h"

#include <algorithm>
#include <cmath>

namespace limereel::admission {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr double ShortSpanSeconds = 1;
constexpr double LongSpanSeconds = 5;
constexpr double MicrosPerSecond = 1e6;
constexpr double LeastSparePart = 0.25;
constexpr std::uint32_t LeastPriority = 15; ///< Lower ones are counted together.

} // namespace

void AcceptedDemand::note(std::uint32_t priority, Instant now)
{
    Counts &counts = byPriority_[std::min(priority, LeastPriority)];
    counts.lately.add(now);
    counts.longer.add(now);
}

double AcceptedDemand::higherThan(std::uint32_t priority, Instant now) const
{
    double lately = 0;
    const auto end = byPriority_.lower_bound(std::min(priority, LeastPriority));
    for (auto entry = byPriority_.begin(); entry != end; ++entry) {
        lately += entry->second.lately.value(now) / ShortSpanSeconds;
    }
    return lately;
}

double AcceptedDemand::all(Instant now) const
{
    double lately = 0;
    for (const auto &[priority, counts] : byPriority_) {
        lately += counts.lately.value(now) / ShortSpanSeconds;
    }
    return lately;
}

double AcceptedDemand::allSteadily(Instant now) const
{
    double longer = 0;
    for (const auto &[priority, counts] : byPriority_) {
        longer += counts.longer.value(now) / LongSpanSeconds;
    }
    return std::min(all(now), longer);
}

Duration waitBesides(Duration wait, double freedPerSecond, double competingPerSecond)
{
    if (wait == Duration::zero() || freedPerSecond <= 0) {
        return wait;
    }
    const double spare = freedPerSecond - competingPerSecond;
    if (spare <= 0) {
        return LongestWait;
    }
    const double longer = kernel::seconds(wait) * freedPerSecond / spare;
    // Compared before the conversion, which overflows when next to nothing is left.
    return longer >= kernel::seconds(LongestWait)
                   ? LongestWait
                   : Duration(std::llround(longer * MicrosPerSecond));
}

double spareForReturns(double freedPerSecond, double competingPerSecond)
{
    return std::max(freedPerSecond - competingPerSecond, freedPerSecond * LeastSparePart);
}

Duration longestReturn(Duration wait)
{
    return waitBesides(wait, 1, 1 - LeastSparePart);
}

} // namespace limereel::admission
