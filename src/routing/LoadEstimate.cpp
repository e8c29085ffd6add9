#include "routing/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace limereel::routing {

namespace {

double estimateOne(double ownNow, std::uint64_t ownEngines, const OwnerReport &report)
{
    const auto reported = static_cast<double>(report.inFlight);
    if (ownEngines == 0) {
        return reported;
    }
    const double gained =
            (ownNow - static_cast<double>(report.ownAtReport)) / static_cast<double>(ownEngines);
    return std::max(0.0, reported + gained * static_cast<double>(report.engines));
}

} // namespace

std::uint64_t estimateInFlight(std::uint64_t ownNow, std::uint64_t ownEngines,
                               std::span<const OwnerReport> others)
{
    double sum = 0;
    for (const OwnerReport &report : others) {
        sum += estimateOne(static_cast<double>(ownNow), ownEngines, report);
    }
    return ownNow + static_cast<std::uint64_t>(std::llround(sum));
}

} // namespace limereel::routing
