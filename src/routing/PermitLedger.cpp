#include "routing/PermitLedger.h"

#include "admission/FairShare.h"

#include <algorithm>

namespace limereel::routing {

using kernel::Instant;

PermitLedger::PermitLedger(PermitPolicy policy, Instant owned, bool takeover)
    : policy_(policy)
    , settledAt_(takeover ? owned + policy.settle : owned)
{
}

GrantResult PermitLedger::ask(const PermitRequest &ask, const Bounds &bounds, Instant now)
{
    if (const auto known = permits_.find(ask.request); known != permits_.end()) {
        known->second.until = now + policy_.lease;
        return GrantResult::Granted;
    }
    if (leaving_) {
        return GrantResult::Leaving;
    }
    const std::uint32_t most = limit(bounds, now);
    // A permit is granted before the engine sees the request and returned after it saw the end, so
    // a report above the permits shows work that this owner doesn't know of: of an earlier owner,
    // or of a router that was paused past its leases.
    if (inFlight() + bounds.unaccountedLoad >= most) {
        return GrantResult::Full;
    }
    if (ask.organisation != 0 && overFairShare(ask.organisation, most)) {
        return GrantResult::Unfair;
    }
    add(ask, now);
    return GrantResult::Granted;
}

bool PermitLedger::giveBack(std::uint64_t request)
{
    const auto place = permits_.find(request);
    if (place == permits_.end()) {
        return false;
    }
    remove(place);
    return true;
}

void PermitLedger::renew(const PermitRequest &ask, Instant now)
{
    if (const auto known = permits_.find(ask.request); known != permits_.end()) {
        known->second.until = now + policy_.lease;
        return;
    }
    add(ask, now);
}

std::size_t PermitLedger::expire(Instant now)
{
    std::size_t dropped = 0;
    for (auto place = permits_.begin(); place != permits_.end();) {
        const auto next = std::next(place);
        if (place->second.until <= now) {
            remove(place);
            ++dropped;
        }
        place = next;
    }
    return dropped;
}

std::uint32_t PermitLedger::limit(const Bounds &bounds, Instant now) const
{
    return std::min(settling(now) ? bounds.settlingBound : bounds.bound, bounds.slots);
}

bool PermitLedger::overFairShare(std::uint64_t organisation, std::uint32_t most) const
{
    const auto own = perOrganisation_.find(organisation);
    const bool present = own != perOrganisation_.end();
    const auto others = static_cast<std::uint32_t>(perOrganisation_.size());
    return !admission::fairShareAllows({.limit = most,
                                        .taken = inFlight(),
                                        .own = present ? own->second : 0,
                                        .organisations = present ? others : others + 1,
                                        .reservedShare = policy_.reservedShare});
}

void PermitLedger::add(const PermitRequest &ask, Instant now)
{
    permits_.emplace(ask.request, Permit{ask, now + policy_.lease});
    ++perOrganisation_[ask.organisation];
}

void PermitLedger::remove(std::unordered_map<std::uint64_t, Permit>::iterator place)
{
    const auto count = perOrganisation_.find(place->second.ask.organisation);
    if (--count->second == 0) {
        perOrganisation_.erase(count);
    }
    permits_.erase(place);
}

} // namespace limereel::routing
