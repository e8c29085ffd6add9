#include "forward/ColdRateLimiter.h"

#include "kernel/decisions/Name.h"

#include <algorithm>
#include <cmath>

namespace limereel::forward {

namespace {

// A number in [0, 1) that depends only on the hash.
double fractionOf(std::uint64_t hash)
{
    constexpr double Steps = 1 << 24;
    constexpr int Shift = 40;
    return static_cast<double>(hash >> Shift) / Steps;
}

double visibleShare(const FleetPart &fleet)
{
    const double all = static_cast<double>(std::max<std::size_t>(fleet.greatest, 1));
    return std::min(1.0, static_cast<double>(fleet.seen) / all);
}

} // namespace

void ColdRateLimiter::setBound(double excess, double slack)
{
    policy_.excess = excess;
    policy_.slack = slack;
}

double ColdRateLimiter::bound(double perSecond) const
{
    const double bound = perSecond * policy_.excess + policy_.slack;
    return bound > 0 ? bound : perSecond;
}

ColdRateLimiter::Grants &ColdRateLimiter::grantsOf(std::uint64_t server, kernel::Instant now)
{
    const auto [it, added] = grants_.try_emplace(server);
    Grants &grants = it->second;
    if (added || now - grants.lastAsked >= policy_.window) {
        grants.askedSince = now;
    }
    grants.lastAsked = now;
    while (!grants.recent.empty() && now - grants.recent.front() >= policy_.window) {
        grants.recent.pop_front();
    }
    return grants;
}

bool ColdRateLimiter::grant(const ColdSend &ask, const FleetPart &fleet, kernel::Instant now)
{
    const Grants &grants = grantsOf(ask.server, now);
    double part = policy_.settledPart;
    if (!fleet.settled) {
        const bool first = now - grants.askedSince < policy_.window;
        part = policy_.ownerPart * (first ? policy_.firstPart : 1);
    }
    return tryGrant(ask, part * bound(ask.perSecond) * visibleShare(fleet), now);
}

bool ColdRateLimiter::grantWithoutOwner(const ColdSend &ask, const FleetPart &fleet,
                                        kernel::Instant now)
{
    const double all = static_cast<double>(std::max<std::size_t>(fleet.greatest, 1));
    return tryGrant(ask, policy_.ownerlessPart * bound(ask.perSecond) / all, now);
}

bool ColdRateLimiter::tryGrant(const ColdSend &ask, double rate, kernel::Instant now)
{
    Grants &grants = grantsOf(ask.server, now);
    const double whole = std::floor(rate);
    const auto slot = static_cast<std::uint64_t>(now.time_since_epoch() / policy_.window);
    const std::uint64_t draw = kernel::combine(kernel::combine(ask.server, ask.box), slot);
    const double allowed = whole + (fractionOf(draw) < rate - whole ? 1 : 0);
    if (static_cast<double>(grants.recent.size()) + 1 > allowed) {
        return false;
    }
    grants.recent.push_back(now);
    return true;
}

void ColdRateLimiter::expire(kernel::Instant now)
{
    std::erase_if(grants_,
                  [&](const auto &item) { return now - item.second.lastAsked >= policy_.window; });
}

} // namespace limereel::forward
