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
    const std::uint32_t maxInFlight = limit(bounds, now);
    // A permit is granted before the engine receives the request and returned after the engine has
    // ended it. A reported load above the permits therefore shows requests that this owner doesn't
    // know of: granted by an earlier owner, or sent by a router that was paused until its leases
    // had ended.
    if (inFlight() + bounds.unaccountedLoad >= maxInFlight) {
        return GrantResult::Full;
    }
    if (ask.organisation != 0 && exceedsFairShare(ask.organisation, maxInFlight)) {
        return GrantResult::Unfair;
    }
    add(ask, now);
    return GrantResult::Granted;
}

bool PermitLedger::giveBack(std::uint64_t request)
{
    const auto entry = permits_.find(request);
    if (entry == permits_.end()) {
        return false;
    }
    remove(entry);
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
    for (auto entry = permits_.begin(); entry != permits_.end();) {
        const auto next = std::next(entry);
        if (entry->second.until <= now) {
            remove(entry);
            ++dropped;
        }
        entry = next;
    }
    return dropped;
}

std::uint32_t PermitLedger::limit(const Bounds &bounds, Instant now) const
{
    return std::min(settling(now) ? bounds.settlingBound : bounds.bound, bounds.slots);
}

bool PermitLedger::exceedsFairShare(std::uint64_t organisation, std::uint32_t maxInFlight) const
{
    const auto own = perOrganisation_.find(organisation);
    const bool present = own != perOrganisation_.end();
    const auto others = static_cast<std::uint32_t>(perOrganisation_.size());
    return !admission::fairShareAllows({.limit = maxInFlight,
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

void PermitLedger::remove(std::unordered_map<std::uint64_t, Permit>::iterator entry)
{
    const auto count = perOrganisation_.find(entry->second.ask.organisation);
    if (--count->second == 0) {
        perOrganisation_.erase(count);
    }
    permits_.erase(entry);
}

} // namespace limereel::routing
