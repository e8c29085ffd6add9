// How long the calls of a feed may take, at stores that are slow, silent or crowded, and at a relay
// whose lateness adds to that of those who ask it.

#include "store/FeedPace.h"
#include "store/SourceSelector.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;

namespace {

const kernel::Duration LongestPause = store::SourcePolicy().storePauseMax;

} // namespace

BOOST_AUTO_TEST_SUITE(FeedPaceTest)

// An incident: with half a second for each answer, confirmations came every 2.45 s, and keys were
// refused for half a second of each.
BOOST_AUTO_TEST_CASE(watchWait_slowStore_twoWatchesStillFit)
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

// After a change the feed pauses. With a whole wait behind that, a change late in a watch left all
// boxes of a fleet without a confirmation for a third of a second to 0.7 s, and keys were refused.
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

// Without keys to confirm, a watch waits as long as a cut may go unnoticed.
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

// A finding on the users' bench: a page asked for just before a silent store came back kept the box
// on an old version for seconds.
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
    // A bound that no store could keep still leaves it the time to answer.
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

// Bounds of deployments with two to six seconds: what a relay that has just fallen silent adds up
// to.
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

// Keys are refused from usableFor on. A box whose relay dies just before its answer has waited for
// it, and asks the next one.
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

BOOST_AUTO_TEST_CASE(fewestRelayed_twoRelaysAskMoreThanAllBoxes_nobodyRelays)
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
