// The concurrency limit of one server, and the waits that follow from it.

#include "admission/ServerCapacity.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace limereel;
using namespace limereel::admission;
using kernel::Duration;
using kernel::Instant;

namespace {

Instant at(Duration since)
{
    return Instant(1000s) + since;
}

ServerCapacity capacityOf(std::uint32_t slots)
{
    ServerCapacity capacity;
    capacity.setSlots(slots);
    return capacity;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerCapacityTest)

// Guards against a slot that stays empty while a grant is in flight, also at small servers.
BOOST_AUTO_TEST_CASE(setSlots_variousSizes_limitIsAQuarterBeyondAtLeastOne)
{
    struct Row
    {
        std::uint32_t slots;
        std::uint32_t limit;
    };
    for (const Row row : {Row{1, 2}, Row{2, 3}, Row{4, 5}, Row{6, 7}, Row{16, 20}, Row{24, 30}}) {
        BOOST_TEST(capacityOf(row.slots).limit() == row.limit);
    }
}

// Guards against a limit that is lost or reset when a box of an earlier version, which doesn't know
// the slots, asks.
BOOST_AUTO_TEST_CASE(setSlots_zero_changesNothing)
{
    ServerCapacity capacity = capacityOf(16);
    capacity.noteRejected(at(0s));
    const std::uint32_t limit = capacity.limit();
    capacity.setSlots(0);
    BOOST_TEST(capacity.limit() == limit);
}

// Guards against a change of the slots, or their repetition with every ask, that undoes a decrease.
BOOST_AUTO_TEST_CASE(setSlots_afterRejection_limitChangesInProportion)
{
    ServerCapacity capacity = capacityOf(16);
    capacity.noteRejected(at(0s));
    BOOST_TEST(capacity.limit() == 17U);
    capacity.setSlots(16);
    BOOST_TEST(capacity.limit() == 17U);
    capacity.setSlots(32);
    BOOST_TEST(capacity.limit() == 34U);
    capacity.setSlots(8);
    BOOST_TEST(capacity.limit() == 8U);
}

// Guards against a limit that collapses because many requests were rejected for one cause.
BOOST_AUTO_TEST_CASE(noteRejected_manyInOneRound_lowerTheLimitOnce)
{
    ServerCapacity capacity = capacityOf(16);
    capacity.noteServed(400ms);
    for (int rejection = 0; rejection < 10; ++rejection) {
        capacity.noteRejected(at(30ms * rejection));
    }
    BOOST_TEST(capacity.limit() == 17U);
    capacity.noteRejected(at(399ms));
    BOOST_TEST(capacity.limit() == 17U);
    capacity.noteRejected(at(400ms));
    BOOST_TEST(capacity.limit() == 14U);
}

// Guards against rounds of no length while no place has ended.
BOOST_AUTO_TEST_CASE(noteRejected_noPlaceEnded_roundIsTheShortest)
{
    ServerCapacity capacity = capacityOf(16);
    capacity.noteRejected(at(0ms));
    capacity.noteRejected(at(49ms));
    BOOST_TEST(capacity.limit() == 17U);
    capacity.noteRejected(at(50ms));
    BOOST_TEST(capacity.limit() == 14U);
}

// Guards against a server that gets nothing more after a long fault, and so can't show that it has
// recovered.
BOOST_AUTO_TEST_CASE(noteRejected_forLong_limitStaysOneAndRisesAgain)
{
    ServerCapacity capacity = capacityOf(16);
    for (int round = 0; round < 200; ++round) {
        capacity.noteRejected(at(1s * round));
    }
    BOOST_TEST(capacity.limit() == 1U);
    for (int request = 0; request < 400; ++request) {
        capacity.noteServed(100ms);
    }
    BOOST_TEST(capacity.limit() == 20U);
}

// Guards against an increase that depends on how many requests run: a round of them adds one.
BOOST_AUTO_TEST_CASE(noteServed_oneRound_raisesTheLimitByAboutOne)
{
    ServerCapacity capacity = capacityOf(24);
    for (int round = 0; round < 5; ++round) {
        capacity.noteRejected(at(1s * round));
    }
    const std::uint32_t limit = capacity.limit();
    for (std::uint32_t request = 0; request <= limit; ++request) {
        capacity.noteServed(100ms);
    }
    BOOST_TEST(capacity.limit() == limit + 1);
}

// Guards against waits that are made up while nothing is known.
BOOST_AUTO_TEST_CASE(expectedWait_noPlaceEnded_isZero)
{
    const ServerCapacity capacity = capacityOf(16);
    BOOST_TEST(capacity.expectedWait(100).count() == 0);
    BOOST_TEST(capacity.freedPerSecond() == 0.0);
}

// Guards against waits that forget the request's own turn.
BOOST_AUTO_TEST_CASE(expectedWait_knownHold_isOneTurnForEachAheadAndItsOwn)
{
    ServerCapacity capacity = capacityOf(16);
    capacity.noteServed(1s);
    BOOST_TEST(capacity.freedPerSecond() == 20.0);
    BOOST_TEST((capacity.expectedWait(0) == 50ms));
    BOOST_TEST((capacity.expectedWait(19) == 1s));
}

// Guards against answers faster than the clock's unit, which would count as unknown.
BOOST_AUTO_TEST_CASE(noteServed_heldForNoTime_rateStaysFinite)
{
    ServerCapacity capacity = capacityOf(16);
    capacity.noteServed(0ms);
    BOOST_TEST(capacity.freedPerSecond() > 0);
    BOOST_TEST(std::isfinite(capacity.freedPerSecond()));
}

// Guards against a state that drifts from its definition: random histories are also played by a
// reference that keeps the limit and the mean in floating point and looks at every rejection.
BOOST_AUTO_TEST_CASE(randomHistories_asTheReference)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        const auto slots = static_cast<std::uint32_t>(1 + random() % 24);
        ServerCapacity capacity = capacityOf(slots);
        const double most = slots + std::max(1.0, slots / 4.0);
        double limit = most;
        double mean = 0;
        double lastDecrease = -1000;
        double now = 0;
        for (int step = 0; step < 2000; ++step) {
            const auto passed = static_cast<int>(random() % 20000);
            now += passed / 1e6;
            const Instant instant = at(Duration(std::llround(now * 1e6)));
            if (random() % 20 == 0) {
                capacity.noteRejected(instant);
                if (now - lastDecrease >= std::max(0.05, mean)) {
                    limit = std::max(1.0, limit * 0.85);
                    lastDecrease = now;
                }
            } else {
                const auto held = static_cast<int>(1000 + random() % 300000);
                capacity.noteServed(Duration(held));
                mean = mean == 0 ? held / 1e6 : mean + 0.1 * (held / 1e6 - mean);
                limit = std::min(most, limit + 1 / limit);
            }
            BOOST_REQUIRE(capacity.limit() == static_cast<std::uint32_t>(limit));
            BOOST_REQUIRE(std::abs(kernel::seconds(capacity.meanHold()) - mean) < 1e-5);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
