#include "store/SourceSelector.h"

#include <algorithm>

namespace limereel::store {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr Duration ShortestPause = 20ms;
constexpr Duration LongestPause = 500ms;
constexpr Duration ForgetDoubtAfter = 60s;

} // namespace

SourceSelector::SourceSelector(SourcePolicy policy)
    : policy_(policy)
    , ownPace_(policy.storePauseFirst, policy.storePauseMax)
    , sparePace_(policy.relayedPauseFirst, policy.relayedPauseMax)
{
}

bool SourceSelector::readsStoreDirectly(std::span<const std::uint64_t> relays, std::uint64_t self)
{
    return relays.empty() || std::ranges::find(relays, self) != relays.end();
}

bool SourceSelector::relaying(std::span<const std::uint64_t> relays, std::uint64_t self,
                              Instant now) const
{
    const auto place = std::ranges::find(relays, self);
    if (relays.empty() || place == relays.begin()) {
        return true;
    }
    const bool askedLately = askedAt_ && now - *askedAt_ < policy_.askedKept;
    return place != relays.end() && askedLately;
}

// A box that is itself in line asks the store before it asks those behind it.
std::optional<std::uint64_t> SourceSelector::firstRelay(std::span<const std::uint64_t> relays,
                                                        std::uint64_t self, Instant now) const
{
    for (const std::uint64_t relay : relays) {
        if (relay == self && storeDue(now)) {
            return std::nullopt;
        }
        const auto doubt = doubts_.find(relay);
        const bool doubted = doubt != doubts_.end() && now < doubt->second.until;
        if (relay != self && !doubted) {
            return relay;
        }
    }
    return std::nullopt;
}

FeedStep SourceSelector::next(std::span<const std::uint64_t> relays, std::uint64_t self,
                              Instant now, bool storeAllowed) const
{
    if (relaying(relays, self, now) && storeDue(now)) {
        return {.kind = FeedStep::Kind::Store, .relaying = !relays.empty()};
    }
    if (const auto relay = firstRelay(relays, self, now)) {
        return {.kind = FeedStep::Kind::Relay, .relay = *relay, .proven = proven_ == *relay};
    }
    const bool allowed = storeAllowed || readsStoreDirectly(relays, self);
    if (allowed && storeDue(now)) {
        return {.kind = FeedStep::Kind::Store, .relaying = false};
    }
    return pauseUntilDue(relays, self, now, allowed);
}

FeedStep SourceSelector::storeStep(Instant now) const
{
    if (storeDue(now)) {
        return {.kind = FeedStep::Kind::Store};
    }
    const Duration pause = std::clamp<Duration>(storeAt_ - now, ShortestPause, LongestPause);
    return {.kind = FeedStep::Kind::Pause, .pause = pause};
}

FeedStep SourceSelector::pauseUntilDue(std::span<const std::uint64_t> relays, std::uint64_t self,
                                       Instant now, bool storeAllowed) const
{
    Instant due = now + LongestPause;
    if (storeAllowed) {
        due = std::min(due, storeAt_);
    }
    for (const std::uint64_t relay : relays) {
        const auto doubt = doubts_.find(relay);
        if (relay != self && doubt != doubts_.end()) {
            due = std::min(due, doubt->second.until);
        }
    }
    return {.kind = FeedStep::Kind::Pause, .pause = std::max<Duration>(due - now, ShortestPause)};
}

void SourceSelector::noteRelayAnswered(std::uint64_t relay)
{
    doubts_.erase(relay);
    proven_ = relay;
}

void SourceSelector::noteRelayFailed(std::uint64_t relay, RelayFault fault, Instant now)
{
    proven_.reset();
    std::erase_if(doubts_,
                  [now](const auto &entry) { return entry.second.until + ForgetDoubtAfter < now; });
    Doubt &doubt = doubts_[relay];
    // One that answers at once costs nothing to look at again, and tells when the store is back.
    doubt.failures = fault == RelayFault::Lost ? 1 : doubt.failures + 1;
    constexpr int MostDoublings = 10;
    const int doublings = std::min(doubt.failures - 1, MostDoublings);
    doubt.until = now
                  + std::min<Duration>(policy_.suspicionMax,
                                       policy_.suspicionFirst * (std::int64_t{1} << doublings));
}

void SourceSelector::noteStoreAnswered()
{
    storeFailures_ = 0;
    ownPace_.succeed();
    sparePace_.succeed();
}

void SourceSelector::noteStoreFailed(bool spare, Instant now, std::mt19937_64 &random)
{
    ++storeFailures_;
    const Duration own = ownPace_.fail(random);
    const Duration longer = sparePace_.fail(random);
    storeAt_ = now + (spare ? longer : own);
}

} // namespace limereel::store
