#include "forward/ColdStarts.h"

#include "kernel/decisions/Name.h"

#include <algorithm>

namespace limereel::forward {

namespace {

// Longest time that a word counts for: one that says more is wrong, and would throttle a server
// for good.
constexpr kernel::Duration LongestTold = 60s;
// What is forgotten a second late costs some bytes; to look through all ten times a second would
// cost a large fleet's small box some hundredths of its processor.
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
    kernel::Instant &told = known_[server].told;
    told = std::max(told, now + std::min<kernel::Duration>(left, LongestTold));
}

bool ColdStarts::startedWithin(std::uint64_t server, kernel::Duration span,
                               kernel::Instant now) const
{
    const auto known = known_.find(server);
    return known != known_.end() && known->second.started != kernel::Instant()
           && now - known->second.started < span;
}

ColdState ColdStarts::state(std::uint64_t service, std::uint64_t server, kernel::Instant now) const
{
    const auto policy = services_.find(service);
    const auto known = known_.find(server);
    if (policy == services_.end() || known == known_.end() || policy->second.perSecond <= 0) {
        return {};
    }
    const bool everStarted = known->second.started != kernel::Instant();
    const kernel::Instant warm =
            everStarted ? known->second.started + policy->second.duration : now;
    const kernel::Instant until = std::max(warm, known->second.told);
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
        return now >= known.told && now - known.started >= LongestTold;
    });
}

} // namespace limereel::forward
