// The ledger of places on engines: for one owner, and for a fleet that spreads a surge of requests.

#include "forward/PlaceLedger.h"
#include "forward/RecentCount.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <vector>

using namespace limereel;
using namespace limereel::forward;

namespace {

kernel::Instant at(kernel::Duration since)
{
    return kernel::Instant(1000s) + since;
}

PlaceAsk askOf(std::uint64_t request, std::uint64_t box = 1, std::uint32_t boxLoad = 0)
{
    return {request, 7, 70, box, boxLoad, 1};
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlaceLedgerTest)

BOOST_AUTO_TEST_CASE(ask_idleFleet_grantsTheConstantBesideTheMean)
{
    PlaceLedger ledger{PlacePolicy{}};
    for (std::uint64_t request = 1; request <= 3; ++request) {
        BOOST_TEST(ledger.ask(askOf(request), {1, 4}, at(0s)).granted);
    }
    BOOST_TEST(!ledger.ask(askOf(4), {1, 4}, at(0s)).granted);
    ledger.giveBack(7, 2);
    BOOST_TEST(ledger.ask(askOf(4), {1, 4}, at(0s)).granted);
}

BOOST_AUTO_TEST_CASE(ask_sameRequestTwice_isCountedOnce)
{
    PlaceLedger ledger{PlacePolicy{}};
    BOOST_TEST(ledger.ask(askOf(1), {1, 4}, at(0s)).load == 1U);
    BOOST_TEST(ledger.ask(askOf(1), {1, 4}, at(0s)).load == 1U);
    BOOST_TEST(ledger.load(7) == 1U);
}

BOOST_AUTO_TEST_CASE(ask_fewBoxesReported_meanIsEstimatedForAll)
{
    PlaceLedger ledger{PlacePolicy{}};
    // Two of twenty boxes report 4 and 8: 120 in all on 10 engines, a mean of 12.
    ledger.ask(askOf(1, 1, 4), {20, 10}, at(0s));
    ledger.ask(askOf(2, 2, 8), {20, 10}, at(0s));
    std::uint32_t granted = 2;
    while (ledger.ask(askOf(100 + granted, 2, 8), {20, 10}, at(0s)).granted) {
        ++granted;
    }
    BOOST_TEST(granted > 12U);
    BOOST_TEST(granted <= 2 * 12 + 3U);
}

BOOST_AUTO_TEST_CASE(expire_boxDied_itsPlacesAreFreed)
{
    PlaceLedger ledger{PlacePolicy{}};
    for (std::uint64_t request = 1; request <= 3; ++request) {
        ledger.ask(askOf(request), {1, 4}, at(0s));
    }
    ledger.expire(at(19s));
    BOOST_TEST(ledger.load(7) == 3U);
    ledger.expire(at(20s));
    BOOST_TEST(ledger.load(7) == 0U);
}

BOOST_AUTO_TEST_CASE(giveBack_unknownRequest_changesNothing)
{
    PlaceLedger ledger{PlacePolicy{}};
    ledger.giveBack(7, 1);
    ledger.ask(askOf(1), {1, 4}, at(0s));
    ledger.giveBack(8, 1);
    BOOST_TEST(ledger.load(7) == 1U);
}

// Guards against a bound for callers that count places elsewhere which differs from what ask()
// decides by: random reports go to two ledgers, one of which counts the places.
BOOST_AUTO_TEST_CASE(noteReport_randomReports_boundIsWhatAskGrants)
{
    std::mt19937_64 random(17);
    PlaceLedger asked{PlacePolicy{}};
    PlaceLedger reported{PlacePolicy{}};
    int refused = 0;
    for (std::uint64_t request = 1; request <= 2000; ++request) {
        const kernel::Instant now = at(5ms * request);
        PlaceAsk ask = askOf(request, random() % 20, static_cast<std::uint32_t>(random() % 12));
        ask.engine = random() % 4;
        ask.boxAsks = 1 + static_cast<double>(random() % 30);
        const FleetSize fleet{20, 10};
        const std::uint32_t load = asked.load(ask.engine);
        const bool fits = load + 1 <= reported.noteReport(ask, fleet, now);
        BOOST_TEST(asked.ask(ask, fleet, now).granted == fits);
        refused += fits ? 0 : 1;
        if (random() % 3 == 0) {
            asked.giveBack(ask.engine, request - random() % 8);
        }
        asked.expire(now);
        reported.expire(now);
    }
    BOOST_TEST(refused > 100);
    BOOST_TEST(refused < 1900);
}

// Guards against places that are counted twice, here and by the caller.
BOOST_AUTO_TEST_CASE(noteReport_manyReports_takeNoPlace)
{
    PlaceLedger ledger{PlacePolicy{}};
    for (std::uint64_t request = 1; request <= 10; ++request) {
        BOOST_TEST(ledger.noteReport(askOf(request), {1, 4}, at(0s)) == 3.0);
    }
    BOOST_TEST(ledger.load(7) == 0U);
    BOOST_TEST(ledger.ask(askOf(1), {1, 4}, at(0s)).load == 1U);
}

// A surge of requests to one engine: every box prefers it, and tries the next ones in the same
// order when it is full.
BOOST_AUTO_TEST_CASE(ask_allBoxesPreferOneEngine_noneGoesOverTwiceTheMeanAndThree)
{
    constexpr std::size_t Boxes = 20;
    constexpr std::size_t Engines = 10;
    PlaceLedger ledger{PlacePolicy{}};
    std::map<std::uint64_t, std::uint32_t> boxLoads;
    std::mt19937_64 random(9);
    std::uint64_t total = 0;
    for (std::uint64_t request = 1; request <= 200; ++request) {
        const std::uint64_t box = random() % Boxes;
        for (std::uint64_t engine = 0; engine < Engines; ++engine) {
            const PlaceAsk ask{request, engine, 70, box, boxLoads[box], 1};
            if (ledger.ask(ask, {Boxes, Engines}, at(1ms * request)).granted) {
                ++boxLoads[box];
                ++total;
                break;
            }
        }
    }
    const double mean = static_cast<double>(total) / Engines;
    for (std::uint64_t engine = 0; engine < Engines; ++engine) {
        BOOST_TEST(ledger.load(engine) <= 2 * mean + 3);
    }
    BOOST_TEST(total >= 150U);
}

// As above, but with a ledger for each owner, and most callers at a few boxes: the owners get most
// reports from busy boxes, as these ask more often.
BOOST_AUTO_TEST_CASE(ask_busyBoxesAskMoreOften_meanIsNotThatOfBusyBoxes)
{
    constexpr std::size_t Boxes = 85;
    constexpr std::size_t Engines = 60;
    constexpr std::uint64_t Service = 70;
    constexpr int Requests = 3000;
    constexpr kernel::Duration Between = 4ms;
    constexpr kernel::Duration Runs = 1200ms;
    constexpr kernel::Duration Settling = 1s; ///< Until enough boxes have reported.
    constexpr int MostOver = 3;               ///< Percentage of grants.
    std::mt19937_64 random(11);
    std::vector<PlaceLedger> owners(Engines, PlaceLedger(PlacePolicy{}));
    std::vector<std::uint32_t> boxLoads(Boxes);
    std::vector<RecentCount> boxAsks(Boxes, RecentCount(PlacePolicy{}.reportMaxAge));
    // Nine in ten callers are at a fifth of the boxes.
    std::vector<double> shares(Boxes, 0.1 / 68);
    std::fill_n(shares.begin(), 17, 0.9 / 17);
    std::discrete_distribution<std::size_t> callers(shares.begin(), shares.end());
    struct Run
    {
        kernel::Instant ends;
        std::uint64_t request;
        std::size_t engine;
        std::size_t box;
    };
    std::deque<Run> running;
    int over = 0;
    int counted = 0;
    for (int request = 1; request <= Requests; ++request) {
        const kernel::Instant now = at(Between * request);
        while (!running.empty() && running.front().ends <= now) {
            const Run &done = running.front();
            owners[done.engine].giveBack(done.engine, done.request);
            --boxLoads[done.box];
            running.pop_front();
        }
        const std::size_t box = callers(random);
        // All boxes try the engines in the same order, which begins at one of six.
        const std::size_t first = (random() % 6) * 10;
        for (std::size_t step = 0; step < Engines; ++step) {
            const std::size_t engine = (first + step) % Engines;
            PlaceAsk ask = askOf(static_cast<std::uint64_t>(request), box, boxLoads[box]);
            ask.engine = engine;
            ask.service = Service;
            ask.boxAsks = boxAsks[box].add(now);
            if (!owners[engine].ask(ask, {Boxes, Engines}, now).granted) {
                continue;
            }
            const double mean = static_cast<double>(running.size()) / Engines;
            if (now >= at(Settling)) {
                over += owners[engine].load(engine) > 2 * mean + 3 ? 1 : 0;
                ++counted;
            }
            running.push_back({now + Runs, static_cast<std::uint64_t>(request), engine, box});
            ++boxLoads[box];
            break;
        }
    }
    BOOST_TEST(counted > Requests * 8 / 10);
    BOOST_TEST(over * 100 <= MostOver * counted);
}

BOOST_AUTO_TEST_SUITE_END()
