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
    pastOwnLoads_.push_front(std::move(own));
    if (pastOwnLoads_.size() > MaxPastHeartbeats) {
        pastOwnLoads_.pop_back();
    }
    reportAge_ = std::max<std::size_t>(1, reportAge);
}

void LoadTable::noteReport(std::uint64_t box, ShortHash model, std::uint32_t load,
                           std::uint32_t own, Instant now)
{
    reports_[{box, model}] = {load, own, now};
}

void LoadTable::forget(Duration age, Instant now)
{
    std::erase_if(reports_, [age, now](const auto &entry) { return now - entry.second.at > age; });
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
    const Duration heartbeatAge = period_ * static_cast<std::int64_t>(reportAge_);
    std::vector<OwnerReport> reports;
    for (auto &[box, report] : others) {
        report.ownAtReport = ownAtReport(engines);
        const auto latest = reports_.find({box, model});
        if (latest != reports_.end() && now - latest->second.at < heartbeatAge) {
            report.inFlight = latest->second.load;
            report.ownAtReport = latest->second.ownAtReport;
        }
        reports.push_back(report);
    }
    return estimateInFlight(ownNow, ownEngines, reports);
}

// The own load at the time when the heartbeats known now were sent.
std::uint64_t LoadTable::ownAtReport(std::span<const KnownLoad> engines) const
{
    if (pastOwnLoads_.empty()) {
        return 0;
    }
    const OwnLoads &loadsThen = pastOwnLoads_[std::min(reportAge_, pastOwnLoads_.size()) - 1];
    std::uint64_t sum = 0;
    for (const KnownLoad &engine : engines) {
        const auto found = loadsThen.find(engine.engine);
        sum += engine.reporter == 0 && found != loadsThen.end() ? found->second : 0;
    }
    return sum;
}

} // namespace limereel::routing
