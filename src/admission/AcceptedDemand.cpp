#include "admission/AcceptedDemand.h"

#include <algorithm>
#include <cmath>

namespace limereel::admission {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr double LeastSparePart = 0.25; ///< Of the places that come free.
// Lower priorities are counted together with this one. Asking boxes state the priority, so this
// bounds the number of counts.
constexpr std::uint32_t LowestCounted = 15;

} // namespace

void AcceptedDemand::note(std::uint32_t priority, Instant now)
{
    Counts &counts = byPriority_[std::min(priority, LowestCounted)];
    counts.lately.add(now);
    counts.longer.add(now);
}

double AcceptedDemand::higherThan(std::uint32_t priority, Instant now) const
{
    double lately = 0;
    const auto end = byPriority_.lower_bound(std::min(priority, LowestCounted));
    for (auto entry = byPriority_.begin(); entry != end; ++entry) {
        lately += entry->second.lately.value(now) / kernel::seconds(ShortSpan);
    }
    return lately;
}

double AcceptedDemand::all(Instant now) const
{
    double lately = 0;
    for (const auto &[priority, counts] : byPriority_) {
        lately += counts.lately.value(now) / kernel::seconds(ShortSpan);
    }
    return lately;
}

double AcceptedDemand::allSustained(Instant now) const
{
    double longer = 0;
    for (const auto &[priority, counts] : byPriority_) {
        longer += counts.longer.value(now) / kernel::seconds(LongSpan);
    }
    return std::min(all(now), longer);
}

Duration waitWithCompetition(Duration wait, double freedPerSecond, double competingPerSecond)
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
    return waitWithCompetition(wait, 1, 1 - LeastSparePart);
}

} // namespace limereel::admission
