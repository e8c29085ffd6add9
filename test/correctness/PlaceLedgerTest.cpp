// The owner's ledger of places on engines, alone and as a fleet that spreads a surge.

#include "forward/PlaceLedger.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace limereel;
using namespace limereel::forward;

namespace {

kernel::Instant at(kernel::Duration since)
{
    return kernel::Instant(1000s) + since;
}

PlaceAsk askOf(std::uint64_t request, std::uint64_t box = 1, std::uint32_t boxLoad = 0)
{
    return {request, 7, 70, box, boxLoad};
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlaceLedgerTest)

BOOST_AUTO_TEST_CASE(ask_idleFleet_grantsWhatStandsBesideTheMean)
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

BOOST_AUTO_TEST_CASE(ask_fewBoxesHeard_meanIsReckonedForAll)
{
    PlaceLedger ledger{PlacePolicy{}};
    // Two of twenty boxes say 4 and 8: 120 in all on 10 engines, a mean of 12.
    ledger.ask(askOf(1, 1, 4), {20, 10}, at(0s));
    ledger.ask(askOf(2, 2, 8), {20, 10}, at(0s));
    std::uint32_t granted = 2;
    while (ledger.ask(askOf(100 + granted, 2, 8), {20, 10}, at(0s)).granted) {
        ++granted;
    }
    BOOST_TEST(granted > 12U);
    BOOST_TEST(granted <= 2 * 12 + 3U);
}

BOOST_AUTO_TEST_CASE(expire_boxDied_itsPlacesComeBack)
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

// A surge towards one engine: every box prefers it, and goes on down the same order when it is
// full.
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
            const PlaceAsk ask{request, engine, 70, box, boxLoads[box]};
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

BOOST_AUTO_TEST_SUITE_END()
