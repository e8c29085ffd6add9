#include "forward/PlaceLedger.h"

#include <algorithm>
#include <cmath>

namespace limereel::forward {

namespace {

// The probability that a given owner has a recent report of a box that made this many requests for
// a place, each of which goes to a random owner.
double reportProbability(double asks, const FleetSize &fleet)
{
    const auto boxes = static_cast<double>(std::max<std::size_t>(fleet.boxes, 1));
    return boxes <= 1 ? 1 : 1 - std::pow(1 - 1 / boxes, std::max(asks, 1.0));
}

} // namespace

double PlaceLedger::meanLoad(std::uint64_t service, const FleetSize &fleet,
                             kernel::Instant now) const
{
    const auto it = reports_.find(service);
    if (it == reports_.end()) {
        return 0;
    }
    double sum = 0;
    double weights = 0;
    double reports = 0;
    for (const auto &[box, report] : it->second) {
        if (now - report.reportedAt <= policy_.reportMaxAge) {
            const double weight = 1 / reportProbability(report.asks, fleet);
            sum += weight * report.load;
            weights += weight;
            reports += 1;
        }
    }
    if (reports == 0) {
        return 0;
    }
    // A few reports may all be of busy boxes, so reports of idle boxes are added.
    const bool allReported = reports >= static_cast<double>(fleet.boxes);
    const double confidence = allReported ? 1 : reports / (reports + policy_.idleReports);
    const auto engines = static_cast<double>(std::max<std::size_t>(fleet.engines, 1));
    return confidence * sum / weights * static_cast<double>(fleet.boxes) / engines;
}

std::size_t PlaceLedger::recentReports(std::uint64_t service, kernel::Instant now) const
{
    const auto it = reports_.find(service);
    if (it == reports_.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(it->second, [&](const auto &item) {
        return now - item.second.reportedAt <= policy_.reportMaxAge;
    }));
}

double PlaceLedger::noteReport(const PlaceAsk &ask, const FleetSize &fleet, kernel::Instant now)
{
    reports_[ask.service][ask.box] = {ask.boxLoad, ask.boxAsks, now};
    const double mean = meanLoad(ask.service, fleet, now);
    const double bound = policy_.loadMultiple * mean * policy_.grantedPart + policy_.beyond;
    return std::max(bound, 1.0);
}

PlaceAnswer PlaceLedger::ask(const PlaceAsk &ask, const FleetSize &fleet, kernel::Instant now)
{
    const double bound = noteReport(ask, fleet, now);
    Places &places = engines_[ask.engine];
    const auto load = static_cast<std::uint32_t>(places.size());
    if (places.contains(ask.request)) {
        return {true, load};
    }
    if (load + 1 > bound) {
        return {false, load};
    }
    places[ask.request] = now + policy_.lease;
    return {true, load + 1};
}

void PlaceLedger::giveBack(std::uint64_t engine, std::uint64_t request)
{
    const auto it = engines_.find(engine);
    if (it != engines_.end()) {
        it->second.erase(request);
    }
}

void PlaceLedger::expire(kernel::Instant now)
{
    for (auto &[engine, places] : engines_) {
        std::erase_if(places, [now](const auto &item) { return now >= item.second; });
    }
    std::erase_if(engines_, [](const auto &item) { return item.second.empty(); });
    for (auto &[service, boxes] : reports_) {
        std::erase_if(boxes, [&](const auto &item) {
            return now - item.second.reportedAt > policy_.reportMaxAge;
        });
    }
}

std::uint32_t PlaceLedger::load(std::uint64_t engine) const
{
    const auto it = engines_.find(engine);
    return it == engines_.end() ? 0 : static_cast<std::uint32_t>(it->second.size());
}

} // namespace limereel::forward
