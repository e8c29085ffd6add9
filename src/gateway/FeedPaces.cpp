#include "gateway/FeedPaces.h"

namespace limereel::gateway {

using kernel::Duration;
using kernel::GatewaySettings;
using store::FeedPace;

namespace {

// Time between the check of a key and the start of the request at the backend server.
constexpr Duration RevokeMargin = 600ms;
constexpr Duration ConfirmMargin = 400ms;
constexpr Duration StoreAnswerTimeout = 900ms;
constexpr Duration ServerWatchTime = 5s;
// Changes are collected for a fraction of the bound in which they must be known, but no longer than
// this.
constexpr Duration MaxGatherTime = 1s;
constexpr int GatherConfigurationsFraction = 4;
constexpr int GatherServersFraction = 3;
// Time from giving up on a silent store to the answer of the next call.
constexpr Duration RetryMargin = 400ms;
// Consecutive watches that a confirmation must outlast, because its age counts from the start of
// its watch.
constexpr int WatchesPerConfirmation = 2;

Duration gatherFor(Duration bound, int part)
{
    return std::min<Duration>(MaxGatherTime, bound / part);
}

// A box that can reach the store again must know the newest version within the contact time, so a
// watch whose connection was cut silently has to be given up by then. Confirmations of keys may
// require shorter watches.
FeedPace configurationPace(const GatewaySettings &settings)
{
    FeedPace pace;
    pace.answer = StoreAnswerTimeout;
    pace.giveUpWithin = std::max<Duration>(settings.contact - RetryMargin, settings.contact / 2);
    pace.wait = pace.giveUpWithin;
    if (settings.refuseUnconfirmedKeys) {
        pace.confirmWithin = usableFor(settings) - ConfirmMargin;
        pace.wait = pace.confirmWithin / WatchesPerConfirmation;
    }
    pace.afterChange = gatherFor(settings.applyWithin, GatherConfigurationsFraction);
    return pace;
}

FeedPace serverPace(const GatewaySettings &settings)
{
    FeedPace pace;
    pace.wait = ServerWatchTime;
    pace.giveUpWithin = std::max<Duration>(ServerWatchTime, settings.contact);
    pace.answer = StoreAnswerTimeout;
    pace.afterChange = gatherFor(settings.drainWithin, GatherServersFraction);
    return pace;
}

} // namespace

// If unconfirmed keys are honoured, an overdue confirmation is only reported.
Duration usableFor(const GatewaySettings &settings)
{
    if (!settings.refuseUnconfirmedKeys) {
        return settings.contact * WatchesPerConfirmation;
    }
    return std::max(settings.revokeWithin - RevokeMargin, settings.revokeWithin / 2);
}

FeedPaces configurationPaces(const GatewaySettings &settings)
{
    const Duration usable = usableFor(settings);
    const FeedPace alone = configurationPace(settings);
    const Duration bound = std::min(usable, settings.applyWithin);
    return {alone, store::relayPace(alone, {usable, settings.applyWithin}),
            store::maxRelayedAge(usable), bound};
}

// A relay's list is as old as its last confirmation; if that is late, servers that are shutting
// down may be missing from it, too.
FeedPaces serverPaces(const GatewaySettings &settings)
{
    const FeedPace alone = serverPace(settings);
    return {alone, store::relayPace(alone, {0s, settings.drainWithin}),
            store::maxRelayedAge(settings.drainWithin), settings.drainWithin};
}

// Only the drain of a hall has to be known in time; confirmations that there is none may be old. So
// watches are as long as the bound allows: a silent watch, its answer timeout and a list fit into
// four fifths of the bound.
FeedPaces hallDrainPaces(const GatewaySettings &settings)
{
    const Duration left = settings.hallDrainWithin * 4 / 5 - 2 * StoreAnswerTimeout;
    FeedPace pace;
    pace.answer = StoreAnswerTimeout;
    pace.wait = std::max<Duration>(left, settings.hallDrainWithin / 5);
    pace.giveUpWithin = pace.wait + pace.answer;
    FeedPaces paces;
    paces.alone = pace;
    paces.relaying = store::relayPace(pace, {0s, settings.hallDrainWithin});
    paces.maxRelayedAge = settings.hallDrainWithin;
    paces.changeKnownWithin = settings.hallDrainWithin;
    // For a box that has just started the bound applies only after the contact time.
    paces.awaitRelays = settings.contact / 2;
    return paces;
}

std::size_t minBoxesForRelaying(const GatewaySettings &settings)
{
    const FeedPaces paces = configurationPaces(settings);
    return store::minBoxesForRelaying(paces.alone, paces.relaying);
}

} // namespace limereel::gateway
