#include "routing/LoadTable.h"

#include "routing/LoadEstimate.h"

#include <algorithm>
#include <vector>

namespace limereel::routing {

using kernel::Duration;
using kernel::Instant;
using membership::ShortHash;

void LoadTable::noteHeartbeat(OwnLoads own, std::size_t reportAge)
{
    past_.push_front(std::move(own));
    if (past_.size() > MostPast) {
        past_.pop_back();
    }
    reportAge_ = std::max<std::size_t>(1, reportAge);
}

void LoadTable::noteReport(std::uint64_t box, ShortHash model, std::uint32_t load,
                           std::uint32_t own, Instant now)
{
    spoken_[{box, model}] = {load, own, now};
}

void LoadTable::forget(Duration age, Instant now)
{
    std::erase_if(spoken_, [age, now](const auto &entry) { return now - entry.second.at > age; });
}

std::uint64_t LoadTable::inFlight(ShortHash model, std::span<const KnownLoad> engines,
                                  Instant now) const
{
    std::uint64_t ownNow = 0;
    std::uint64_t ownEngines = 0;
    std::map<std::uint64_t, OwnerReport> others;
    for (const KnownLoad &engine : engines) {
        if (engine.reporter == 0) {
            ++ownEngines;
            ownNow += engine.inFlight;
            continue;
        }
        OwnerReport &report = others[engine.reporter];
        ++report.engines;
        report.inFlight += engine.inFlight;
    }
    const Duration heartbeatsOld = period_ * static_cast<std::int64_t>(reportAge_);
    std::vector<OwnerReport> reports;
    for (auto &[box, report] : others) {
        report.ownAtReport = ownAtReport(engines);
        const auto spoken = spoken_.find({box, model});
        if (spoken != spoken_.end() && now - spoken->second.at < heartbeatsOld) {
            report.inFlight = spoken->second.load;
            report.ownAtReport = spoken->second.ownAtReport;
        }
        reports.push_back(report);
    }
    return estimateInFlight(ownNow, ownEngines, reports);
}

// The own load when the heartbeats were sent that are known now.
std::uint64_t LoadTable::ownAtReport(std::span<const KnownLoad> engines) const
{
    if (past_.empty()) {
        return 0;
    }
    const OwnLoads &then = past_[std::min(reportAge_, past_.size()) - 1];
    std::uint64_t sum = 0;
    for (const KnownLoad &engine : engines) {
        const auto place = then.find(engine.engine);
        sum += engine.reporter == 0 && place != then.end() ? place->second : 0;
    }
    return sum;
}

} // namespace limereel::routing
