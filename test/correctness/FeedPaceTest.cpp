// Time limits for the calls of a feed to stores that are slow, silent or overloaded, and to a relay
// whose delay adds to that of the boxes that ask it.

#include "store/FeedPace.h"
#include "store/SourceSelector.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace limereel;

namespace {

const kernel::Duration LongestPause = store::SourcePolicy().storePauseMax;

} // namespace

BOOST_AUTO_TEST_SUITE(FeedPaceTest)

// Guards against an incident: the store took half a second for each answer, confirmations came
// every 2.45 s, and boxes refused keys for half a second of each such period.
BOOST_AUTO_TEST_CASE(watchWait_slowStore_twoWatchesFitWithinBound)
{
    store::FeedPace pace;
    pace.wait = 2s;
    pace.confirmWithin = 4s;
    for (const kernel::Duration latency : {0ms, 4ms, 450ms, 1200ms}) {
        const kernel::Duration wait = store::watchWait(pace, latency);
        BOOST_TEST(((wait + latency) * 2 <= kernel::Duration(4s)));
    }
    BOOST_TEST((store::watchWait(pace, 0ms) == kernel::Duration(2s)));
    BOOST_TEST((store::watchWait(pace, 30s) > kernel::Duration(0s)));
}

// The feed pauses after a change. If a watch of full duration followed the pause, a change late in
// a watch left all boxes of a fleet without a valid confirmation for a third of a second to 0.7 s,
// and they refused keys.
BOOST_AUTO_TEST_CASE(watchWait_changeAtTheEndOfAWatch_nextConfirmationIsInTime)
{
    store::FeedPace pace;
    pace.wait = 2s;
    pace.confirmWithin = 4s;
    pace.afterChange = 750ms;
    for (const kernel::Duration latency : {0ms, 4ms, 450ms, 1000ms}) {
        const kernel::Duration first = store::watchWait(pace, latency);
        const kernel::Duration age = first + latency + pace.afterChange;
        const kernel::Duration second = store::watchWait(pace, latency, age);
        BOOST_TEST((age + second + latency <= kernel::Duration(4s)));
    }
    BOOST_TEST((store::watchWait(pace, 0ms, 2s) == kernel::Duration(2s)));
    BOOST_TEST((store::watchWait(pace, 0ms, 30s) > kernel::Duration(0s)));
}

// Without keys to confirm, only the time until a lost store must be noticed limits a watch.
BOOST_AUTO_TEST_CASE(watchWait_silentStore_watchIsGivenUpWithinTheBound)
{
    store::FeedPace pace;
    pace.wait = 30s;
    pace.answer = 900ms;
    pace.giveUpWithin = 3850ms;
    for (const kernel::Duration latency : {0ms, 4ms, 450ms, 1200ms}) {
        const kernel::Duration wait = store::watchWait(pace, latency);
        BOOST_TEST((wait + store::answerWait(pace, latency) <= kernel::Duration(3850ms)));
    }
    BOOST_TEST((store::watchWait(pace, 0ms) == kernel::Duration(2950ms)));
    pace.confirmWithin = 4s;
    BOOST_TEST((store::watchWait(pace, 0ms) == kernel::Duration(2s)));
}

// Guards against a long timeout for a page requested just before a silent store came back, which
// kept the box on an old version for seconds.
BOOST_AUTO_TEST_CASE(pageWait_boxHasListedBefore_asksAgainSoon)
{
    store::FeedPace pace;
    pace.answer = 900ms;
    pace.giveUpWithin = 3600ms;
    for (int failures = 0; failures < 8; ++failures) {
        const kernel::Duration wait = store::pageWait(pace, failures, true);
        BOOST_TEST((wait + LongestPause <= kernel::Duration(2300ms)));
    }
    BOOST_TEST((store::pageWait(pace, 3, false) == kernel::Duration(7200ms)));
    // Even with a bound that is too short for any store, the store gets the minimum answer timeout.
    pace.giveUpWithin = 50ms;
    BOOST_TEST((store::pageWait(pace, 3, true) == kernel::Duration(900ms)));
}

BOOST_AUTO_TEST_CASE(pageWait_failuresInARow_growsWithinABound)
{
    store::FeedPace pace;
    BOOST_TEST((store::pageWait(pace, 0, false) == kernel::Duration(1s)));
    BOOST_TEST((store::pageWait(pace, 2, false) == kernel::Duration(4s)));
    BOOST_TEST((store::pageWait(pace, 50, false) == kernel::Duration(8s)));
}

BOOST_AUTO_TEST_CASE(answerWait_slowStore_isGivenMoreTimeWithinBounds)
{
    store::FeedPace pace;
    BOOST_TEST((store::answerWait(pace, 4ms) == kernel::Duration(1s)));
    BOOST_TEST((store::answerWait(pace, 500ms) == kernel::Duration(1500ms)));
    BOOST_TEST((store::answerWait(pace, 30s) == kernel::Duration(2s)));
}

// Deployments have bounds of two to six seconds; the total delay due to a relay that has just
// fallen silent must stay below them.
BOOST_AUTO_TEST_CASE(relayPace_relayFallsSilent_changeIsKnownInTime)
{
    store::FeedPace alone;
    alone.answer = 900ms;
    alone.afterChange = 1s;
    for (const kernel::Duration bound : {2000ms, 3000ms, 4000ms, 6000ms}) {
        const store::FeedPace pace = store::relayPace(alone, {0s, bound});
        const kernel::Duration lost =
                pace.afterChange + pace.wait + store::answerWait(pace, 4ms) + store::RelayAnswer;
        BOOST_TEST((lost < bound));
        BOOST_TEST((pace.wait > 0s));
    }
}

// Boxes refuse keys once a confirmation is older than usableFor. A box whose relay dies just before
// it answers has waited for that answer and must still have time to ask the next relay.
BOOST_AUTO_TEST_CASE(relayPace_relayDiesBeforeItsAnswer_confirmationLastsUntilTheNextRelay)
{
    store::FeedPace alone;
    alone.answer = 900ms;
    alone.confirmWithin = 4s;
    const kernel::Duration usable = 4400ms;
    const store::FeedPace pace = store::relayPace(alone, {usable, 4s});
    const kernel::Duration oldest = 2 * pace.wait + store::relayHoldTime(pace);
    BOOST_TEST((oldest < store::maxRelayedAge(usable)));
    BOOST_TEST((oldest + store::RelayAnswer + store::RelayAnswer < usable));
}

// A slow store makes confirmations old at relays that work. If boxes gave these up, all of them
// would call that store.
BOOST_AUTO_TEST_CASE(searchTime_slowStore_relayThatWorksIsNotGivenUp)
{
    for (const kernel::Duration bound : {2000ms, 3000ms, 4000ms, 6000ms, 10000ms}) {
        store::FeedPace alone;
        alone.wait = 5s;
        alone.answer = 900ms;
        alone.afterChange = std::min<kernel::Duration>(bound / 4, 1s);
        const store::FeedPace pace = store::relayPace(alone, {0s, bound});
        const kernel::Duration oldest = 2 * (pace.wait + kernel::Duration(150ms));
        BOOST_TEST((oldest + pace.afterChange <= store::searchTime(pace, bound, 0)));
    }
}

BOOST_AUTO_TEST_CASE(searchTime_manyBoxes_differAndLeaveTimeForTheStore)
{
    std::mt19937_64 random(1);
    for (const kernel::Duration bound : {1000ms, 2000ms, 4000ms, 10000ms}) {
        const store::FeedPace pace = store::relayPace({}, {0s, bound});
        std::set<kernel::Duration> times;
        for (int box = 0; box < 300; ++box) {
            times.insert(store::searchTime(pace, bound, random()));
        }
        BOOST_TEST((*times.rbegin() <= bound * 9 / 10));
        BOOST_TEST(times.size() > 200U);
    }
}

BOOST_AUTO_TEST_CASE(askTimes_searchEndsSoon_relayIsAskedToAnswerBefore)
{
    using store::askTimes;
    using store::AskTimes;
    BOOST_TEST((askTimes(200ms, {}) == AskTimes{200ms, 600ms}));
    BOOST_TEST((askTimes(200ms, 1s) == AskTimes{200ms, 600ms}));
    BOOST_TEST((askTimes(200ms, 500ms) == AskTimes{200ms, 500ms}));
    BOOST_TEST((askTimes(200ms, 100ms) == AskTimes{50ms, 100ms}));
    BOOST_TEST((askTimes(200ms, -100ms) == AskTimes{0ms, 0ms}));
}

BOOST_AUTO_TEST_CASE(minBoxesForRelaying_twoRelaysAskMoreThanAllBoxes_noBoxRelays)
{
    store::FeedPace alone;
    alone.wait = 2s;
    store::FeedPace relaying = alone;
    relaying.wait = 500ms;
    BOOST_TEST(store::minBoxesForRelaying(alone, relaying) == 9U);
    relaying.wait = 2s;
    BOOST_TEST(store::minBoxesForRelaying(alone, relaying) == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
