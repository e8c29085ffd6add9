#include "store/SourceSelector.h"

#include <algorithm>

namespace limereel::store {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr Duration ShortestPause = 20ms;
constexpr Duration LongestPause = 500ms;
constexpr Duration ForgetSuspicionAfter = 60s;
// A relay that works may need this long; a shorter question would only bring it into suspicion.
constexpr Duration ShortestAsk = 50ms;

} // namespace

SourceSelector::SourceSelector(SourcePolicy policy)
    : policy_(policy)
    , ownPace_(policy.storePauseFirst, policy.storePauseMax)
    , relayedPace_(policy.relayedPauseFirst, policy.relayedPauseMax)
{
}

bool SourceSelector::readsStoreDirectly(std::span<const std::uint64_t> relays, std::uint64_t self)
{
    return relays.empty() || std::ranges::find(relays, self) != relays.end();
}

bool SourceSelector::relaying(std::span<const std::uint64_t> relays, std::uint64_t self,
                              Instant now) const
{
    const auto position = std::ranges::find(relays, self);
    if (relays.empty() || position == relays.begin()) {
        return true;
    }
    const bool askedLately = askedAt_ && now - *askedAt_ < policy_.askedKept;
    return position != relays.end() && askedLately;
}

// A box that is itself a relay asks the store before it asks the relays after it in the order.
std::optional<std::uint64_t> SourceSelector::firstRelay(std::span<const std::uint64_t> relays,
                                                        std::uint64_t self, Instant now) const
{
    for (const std::uint64_t relay : relays) {
        if (relay == self && storeDue(now)) {
            return std::nullopt;
        }
        const auto suspicion = suspicions_.find(relay);
        const bool suspected = suspicion != suspicions_.end() && now < suspicion->second.until;
        if (relay != self && !suspected) {
            return relay;
        }
    }
    return std::nullopt;
}

FeedStep SourceSelector::next(std::span<const std::uint64_t> relays, std::uint64_t self,
                              Instant now, bool storeAllowed,
                              std::optional<Instant> searchUntil) const
{
    if (relaying(relays, self, now) && storeDue(now)) {
        return {.kind = FeedStep::Kind::Store, .relaying = !relays.empty()};
    }
    const bool allowed = storeAllowed || readsStoreDirectly(relays, self);
    const bool storeReady = allowed && storeDue(now);
    const bool searchEnds = searchUntil && now + ShortestAsk >= *searchUntil;
    const auto relay = firstRelay(relays, self, now);
    if (storeReady && (!relay || searchEnds)) {
        return {.kind = FeedStep::Kind::Store, .relaying = false};
    }
    if (relay) {
        FeedStep step{.kind = FeedStep::Kind::Relay, .relay = *relay};
        step.proven = provenRelay_ == *relay;
        step.askUntil = storeReady ? searchUntil : std::nullopt;
        return step;
    }
    return pauseUntilDue(relays, self, now, allowed);
}

FeedStep SourceSelector::storeStep(Instant now) const
{
    if (storeDue(now)) {
        return {.kind = FeedStep::Kind::Store};
    }
    const Duration pause = std::clamp<Duration>(storeRetryAt_ - now, ShortestPause, LongestPause);
    return {.kind = FeedStep::Kind::Pause, .pause = pause};
}

FeedStep SourceSelector::pauseUntilDue(std::span<const std::uint64_t> relays, std::uint64_t self,
                                       Instant now, bool storeAllowed) const
{
    Instant due = now + LongestPause;
    if (storeAllowed) {
        due = std::min(due, storeRetryAt_);
    }
    for (const std::uint64_t relay : relays) {
        const auto suspicion = suspicions_.find(relay);
        if (relay != self && suspicion != suspicions_.end()) {
            due = std::min(due, suspicion->second.until);
        }
    }
    return {.kind = FeedStep::Kind::Pause, .pause = std::max<Duration>(due - now, ShortestPause)};
}

void SourceSelector::noteRelayAnswered(std::uint64_t relay)
{
    suspicions_.erase(relay);
    provenRelay_ = relay;
}

void SourceSelector::noteRelayFailed(std::uint64_t relay, RelayFault fault, Instant now)
{
    provenRelay_.reset();
    std::erase_if(suspicions_, [now](const auto &entry) {
        return entry.second.until + ForgetSuspicionAfter < now;
    });
    Suspicion &suspicion = suspicions_[relay];
    // A relay that answers at once is cheap to ask again, and its answer shows when the store is
    // back.
    suspicion.failures = fault == RelayFault::Lost ? 1 : suspicion.failures + 1;
    constexpr int MaxDoublings = 10;
    const int doublings = std::min(suspicion.failures - 1, MaxDoublings);
    suspicion.until = now
                      + std::min<Duration>(policy_.suspicionMax,
                                           policy_.suspicionFirst * (std::int64_t{1} << doublings));
}

void SourceSelector::noteStoreAnswered()
{
    storeFailures_ = 0;
    ownPace_.succeed();
    relayedPace_.succeed();
}

void SourceSelector::noteStoreFailed(bool servedByRelays, Instant now, std::mt19937_64 &random)
{
    ++storeFailures_;
    const Duration own = ownPace_.fail(random);
    const Duration longer = relayedPace_.fail(random);
    storeRetryAt_ = now + (servedByRelays ? longer : own);
}

} // namespace limereel::store
