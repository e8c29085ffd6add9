#include "forward/ColdStarts.h"

#include "kernel/decisions/Name.h"

#include <algorithm>

namespace limereel::forward {

namespace {

// Upper bound on a reported cold phase: a longer one is an error and would throttle the server
// forever.
constexpr kernel::Duration MaxReportedCold = 60s;
// Keeping entries a second longer costs a few bytes; searching all of them ten times a second would
// cost a small box of a large fleet some hundredths of its processor.
constexpr kernel::Duration ExpireEvery = 1s;

} // namespace

void ColdStarts::setServices(const std::map<std::string, ColdPolicy> &services)
{
    services_.clear();
    for (const auto &[name, policy] : services) {
        services_[kernel::hashOf(name)] = policy;
    }
}

bool ColdStarts::bounded(const std::string &service) const
{
    const auto policy = services_.find(kernel::hashOf(service));
    return policy != services_.end() && policy->second.perSecond > 0;
}

void ColdStarts::noteReported(std::uint64_t server, kernel::Duration left, kernel::Instant now)
{
    if (left <= kernel::Duration::zero()) {
        return;
    }
    kernel::Instant &reportedUntil = known_[server].reportedUntil;
    reportedUntil =
            std::max(reportedUntil, now + std::min<kernel::Duration>(left, MaxReportedCold));
}

bool ColdStarts::startedWithin(std::uint64_t server, kernel::Duration span,
                               kernel::Instant now) const
{
    const auto known = known_.find(server);
    return known != known_.end() && known->second.startedAt != kernel::Instant()
           && now - known->second.startedAt < span;
}

ColdState ColdStarts::state(std::uint64_t service, std::uint64_t server, kernel::Instant now) const
{
    const auto policy = services_.find(service);
    const auto known = known_.find(server);
    if (policy == services_.end() || known == known_.end() || policy->second.perSecond <= 0) {
        return {};
    }
    const bool everStarted = known->second.startedAt != kernel::Instant();
    const kernel::Instant warmAt =
            everStarted ? known->second.startedAt + policy->second.duration : now;
    const kernel::Instant until = std::max(warmAt, known->second.reportedUntil);
    return until > now ? ColdState{until - now, policy->second.perSecond} : ColdState{};
}

ColdState ColdStarts::state(const ListedServer &server, kernel::Instant now) const
{
    return state(kernel::hashOf(server.service), server.hash(), now);
}

void ColdStarts::expire(kernel::Instant now)
{
    if (now - expired_ < ExpireEvery) {
        return;
    }
    expired_ = now;
    std::erase_if(known_, [now](const auto &item) {
        const Known &known = item.second;
        return now >= known.reportedUntil && now - known.startedAt >= MaxReportedCold;
    });
}

} // namespace limereel::forward
