#include "forward/PlaceLedger.h"

#include <algorithm>
#include <cmath>

namespace limereel::forward {

namespace {

// The chance that one owner hears from a box that made so many asks: each goes to any owner.
double chanceToHear(double asks, const FleetSize &fleet)
{
    const auto boxes = static_cast<double>(std::max<std::size_t>(fleet.boxes, 1));
    return boxes <= 1 ? 1 : 1 - std::pow(1 - 1 / boxes, std::max(asks, 1.0));
}

} // namespace

double PlaceLedger::meanLoad(std::uint64_t service, const FleetSize &fleet,
                             kernel::Instant now) const
{
    const auto place = words_.find(service);
    if (place == words_.end()) {
        return 0;
    }
    double sum = 0;
    double weights = 0;
    double words = 0;
    for (const auto &[box, word] : place->second) {
        if (now - word.at <= policy_.reportMaxAge) {
            const double weight = 1 / chanceToHear(word.asks, fleet);
            sum += weight * word.load;
            weights += weight;
            words += 1;
        }
    }
    if (words == 0) {
        return 0;
    }
    // Few words may all be of busy boxes: they count as if idle boxes had spoken beside them.
    const bool allSpoke = words >= static_cast<double>(fleet.boxes);
    const double sure = allSpoke ? 1 : words / (words + policy_.idleReports);
    const auto engines = static_cast<double>(std::max<std::size_t>(fleet.engines, 1));
    return sure * sum / weights * static_cast<double>(fleet.boxes) / engines;
}

PlaceAnswer PlaceLedger::ask(const PlaceAsk &ask, const FleetSize &fleet, kernel::Instant now)
{
    words_[ask.service][ask.box] = {ask.boxLoad, ask.boxAsks, now};
    Places &places = engines_[ask.engine];
    const auto load = static_cast<std::uint32_t>(places.size());
    if (places.contains(ask.request)) {
        return {true, load};
    }
    const double mean = meanLoad(ask.service, fleet, now);
    const double bound = policy_.loadMultiple * mean * policy_.grantedPart + policy_.beyond;
    if (load + 1 > std::max(bound, 1.0)) {
        return {false, load};
    }
    places[ask.request] = now + policy_.lease;
    return {true, load + 1};
}

void PlaceLedger::giveBack(std::uint64_t engine, std::uint64_t request)
{
    const auto place = engines_.find(engine);
    if (place != engines_.end()) {
        place->second.erase(request);
    }
}

void PlaceLedger::expire(kernel::Instant now)
{
    for (auto &[engine, places] : engines_) {
        std::erase_if(places, [now](const auto &item) { return now >= item.second; });
    }
    std::erase_if(engines_, [](const auto &item) { return item.second.empty(); });
    for (auto &[service, boxes] : words_) {
        std::erase_if(boxes, [&](const auto &item) {
            return now - item.second.at > policy_.reportMaxAge;
        });
    }
}

std::uint32_t PlaceLedger::load(std::uint64_t engine) const
{
    const auto place = engines_.find(engine);
    return place == engines_.end() ? 0 : static_cast<std::uint32_t>(place->second.size());
}

} // namespace limereel::forward
