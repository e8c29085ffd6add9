#include "gateway/FeedPaces.h"

namespace limereel::gateway {

using kernel::Duration;
using kernel::GatewaySettings;
using store::FeedPace;

namespace {

// Between the check of a key and the moment at which the backend server begins.
constexpr Duration RevokeMargin = 600ms;
constexpr Duration ConfirmMargin = 400ms;
constexpr Duration StoreAnswer = 900ms;
constexpr Duration ServerWatch = 5s;
// Changes are gathered for a part of the bound in which they must be known, but no longer than
// this.
constexpr Duration GatherAtMost = 1s;
constexpr int GatherConfigurationsPart = 4;
constexpr int GatherServersPart = 3;
// From giving a silent store up to the answer of the next call.
constexpr Duration AskAgain = 400ms;
// Watches in a row that a confirmation must outlast: it counts from when its watch was asked.
constexpr int WatchesPerConfirmation = 2;

Duration gatherFor(Duration bound, int part)
{
    return std::min<Duration>(GatherAtMost, bound / part);
}

// A box that the store reaches again must know the newest version after the time of contact, so a
// watch that a cut swallowed is given up by then. Confirmations of keys may need more than that.
FeedPace configurationPace(const GatewaySettings &settings)
{
    FeedPace pace;
    pace.answer = StoreAnswer;
    pace.giveUpWithin = std::max<Duration>(settings.contact - AskAgain, settings.contact / 2);
    pace.wait = pace.giveUpWithin;
    if (settings.refuseUnconfirmedKeys) {
        pace.confirmWithin = usableFor(settings) - ConfirmMargin;
        pace.wait = pace.confirmWithin / WatchesPerConfirmation;
    }
    pace.afterChange = gatherFor(settings.applyWithin, GatherConfigurationsPart);
    return pace;
}

FeedPace serverPace(const GatewaySettings &settings)
{
    FeedPace pace;
    pace.wait = ServerWatch;
    pace.giveUpWithin = std::max<Duration>(ServerWatch, settings.contact);
    pace.answer = StoreAnswer;
    pace.afterChange = gatherFor(settings.drainWithin, GatherServersPart);
    return pace;
}

} // namespace

// Where unconfirmed keys are honoured, a confirmation that is overdue is only a sign.
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
    return {alone, store::relayPace(alone, {usable, settings.applyWithin}),
            store::maxRelayedAge(usable)};
}

// A relay's list is as old as its confirmations: where these are late, so may leaving servers be.
FeedPaces serverPaces(const GatewaySettings &settings)
{
    const FeedPace alone = serverPace(settings);
    return {alone, store::relayPace(alone, {0s, settings.drainWithin}),
            store::maxRelayedAge(settings.drainWithin)};
}

// A drained hall is news of a moment, and nothing hangs on how fresh the word is that there is
// none. So watches are as long as the bound lets them be: one that falls silent, its wait for an
// answer and a list fit into four fifths of it.
FeedPaces hallDrainPaces(const GatewaySettings &settings)
{
    const Duration left = settings.hallDrainWithin * 4 / 5 - 2 * StoreAnswer;
    FeedPace pace;
    pace.answer = StoreAnswer;
    pace.wait = std::max<Duration>(left, settings.hallDrainWithin / 5);
    pace.giveUpWithin = pace.wait + pace.answer;
    FeedPaces paces;
    paces.alone = pace;
    paces.relaying = store::relayPace(pace, {0s, settings.hallDrainWithin});
    paces.maxRelayedAge = settings.hallDrainWithin;
    // A box that has just started owes the bound only from the time of contact on.
    paces.awaitRelays = settings.contact / 2;
    return paces;
}

std::size_t minBoxesForRelaying(const GatewaySettings &settings)
{
    const FeedPaces paces = configurationPaces(settings);
    return store::minBoxesForRelaying(paces.alone, paces.relaying);
}

} // namespace limereel::gateway
