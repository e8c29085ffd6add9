// When refused callers are told to return, and which of them are expected.

#include "admission/ReturnSchedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace limereel;
using admission::ReturnPolicy;
using admission::ReturnSchedule;
using kernel::Duration;
using kernel::Instant;

namespace {

const Instant Start{1000s};

struct ScheduleFixture
{
    Duration promise(std::uint64_t identity, double freedPerSecond, Instant now = Start)
    {
        return schedule.promise(identity, freedPerSecond, now, random);
    }

    ReturnSchedule schedule;
    std::mt19937_64 random{1};
};

/** Most of \a times that lie within one period of \a length. */
std::size_t mostWithin(std::vector<Instant> times, Duration length)
{
    std::ranges::sort(times);
    std::size_t most = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
        std::size_t end = first;
        while (end < times.size() && times[end] - times[first] < length) {
            ++end;
        }
        most = std::max(most, end - first);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReturnScheduleTest)

// Guards against a crowd that is refused at once and returns at once.
BOOST_FIXTURE_TEST_CASE(promise_crowdRefusedAtOnce_returnsAtHalfTheRateOfFreePlaces,
                        ScheduleFixture)
{
    std::vector<Instant> times;
    for (std::uint64_t identity = 1; identity <= 500; ++identity) {
        times.push_back(Start + promise(identity, 100));
    }
    BOOST_TEST((std::ranges::min(times) >= Start + 100ms));
    BOOST_TEST((std::ranges::max(times) >= Start + 10s));
    BOOST_TEST((std::ranges::max(times) < Start + 10s + 200ms));
    // A period of one bucket touches two of them, with five callers each.
    BOOST_TEST(mostWithin(times, 100ms) <= 10U);
    BOOST_TEST(mostWithin(times, 1s) <= 55U);
}

// Guards against a server that frees few places and gets a caller in every bucket.
BOOST_FIXTURE_TEST_CASE(promise_lessThanOnePlaceInABucket_skipsBuckets, ScheduleFixture)
{
    std::vector<Instant> times;
    for (std::uint64_t identity = 1; identity <= 10; ++identity) {
        times.push_back(Start + promise(identity, 4));
    }
    BOOST_TEST(std::ranges::is_sorted(times));
    for (std::size_t caller = 0; caller < times.size(); ++caller) {
        const Duration due = times[caller] - Start;
        BOOST_TEST((due >= 500ms * (caller + 1) && due < 500ms * (caller + 1) + 100ms));
    }
}

BOOST_FIXTURE_TEST_CASE(promise_seededRefusals_noBucketTakesMoreThanItsPart, ScheduleFixture)
{
    constexpr double FreedPerSecond = 37;
    std::vector<Instant> times;
    Instant now = Start;
    for (std::uint64_t identity = 1; identity <= 3000; ++identity) {
        now += Duration(random() % 40000);
        const Duration told = promise(identity, FreedPerSecond, now);
        BOOST_REQUIRE((told >= 100ms && told <= 60s));
        if (told < 59s) {
            times.push_back(now + told);
        }
        schedule.expire(now);
    }
    // A period of 10 s touches 101 buckets, and one caller of a bucket may have begun in another.
    BOOST_TEST(static_cast<double>(mostWithin(times, 10s)) <= 10.1 * FreedPerSecond / 2 + 1);
}

// Guards against a server whose rate fell and that is still promised at the earlier one.
BOOST_FIXTURE_TEST_CASE(promise_rateFalls_laterCallersFollowAfterTheEarlierOnes, ScheduleFixture)
{
    Instant last = Start;
    for (std::uint64_t identity = 1; identity <= 100; ++identity) {
        last = std::max(last, Start + promise(identity, 100));
    }
    BOOST_TEST((Start + promise(101, 10) > last));
}

BOOST_FIXTURE_TEST_CASE(promise_rateUnknown_isSpreadAsWell, ScheduleFixture)
{
    std::vector<Instant> times;
    for (std::uint64_t identity = 1; identity <= 50; ++identity) {
        times.push_back(Start + promise(identity, 0));
    }
    BOOST_TEST(mostWithin(times, 1s) <= 6U);
}

BOOST_FIXTURE_TEST_CASE(promise_identityUnknown_reservesNothing, ScheduleFixture)
{
    for (int caller = 0; caller < 100; ++caller) {
        BOOST_TEST((promise(0, 100) < 200ms));
    }
    BOOST_TEST(schedule.size() == 0U);
    BOOST_TEST(!schedule.returns(0, Start + 150ms));
}

// Guards against a privilege for a caller that retries before it was told to.
BOOST_FIXTURE_TEST_CASE(returns_early_isNotExpectedAndKeepsItsPromise, ScheduleFixture)
{
    const Duration told = promise(7, 100);
    BOOST_TEST(!schedule.returns(7, Start + told - Duration(1)));
    BOOST_TEST(schedule.returns(7, Start + told));
}

BOOST_FIXTURE_TEST_CASE(returns_twice_isExpectedOnce, ScheduleFixture)
{
    const Duration told = promise(7, 100);
    BOOST_TEST(!schedule.returns(8, Start + told));
    BOOST_TEST(schedule.returns(7, Start + told + 500ms));
    BOOST_TEST(!schedule.returns(7, Start + told + 500ms));
    BOOST_TEST(schedule.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(returns_afterTheGrace_isNotExpected, ScheduleFixture)
{
    const Duration told = promise(7, 100);
    BOOST_TEST(!schedule.returns(7, Start + told + 1s + Duration(1)));
}

// Guards against equal requests of several callers that all return in one bucket, where only one
// is expected.
BOOST_FIXTURE_TEST_CASE(promise_equalRequestsOfSeveralCallers_eachHasRoomOfItsOwn, ScheduleFixture)
{
    std::vector<Instant> times;
    for (int caller = 0; caller < 100; ++caller) {
        times.push_back(Start + promise(7, 100));
    }
    BOOST_TEST(mostWithin(times, 100ms) <= 10U);
    std::ranges::sort(times);
    for (const Instant time : times) {
        BOOST_TEST(schedule.returns(7, time));
    }
    BOOST_TEST(schedule.size() == 0U);
}

BOOST_FIXTURE_TEST_CASE(promise_moreCallersThanRemembered_areToldTheEnd, ScheduleFixture)
{
    for (std::uint64_t identity = 1; identity <= 4096; ++identity) {
        promise(identity, 10000);
    }
    BOOST_TEST(schedule.size() == 4096U);
    const Duration told = promise(5000, 10000);
    BOOST_TEST((told >= 59900ms && told <= 60s));
    BOOST_TEST(schedule.size() == 4096U);
    BOOST_TEST(!schedule.returns(5000, Start + told));
}

// Guards against a promise beyond what can be served within the schedule.
BOOST_FIXTURE_TEST_CASE(promise_scheduleFull_tellsTheEndAndReservesNothing, ScheduleFixture)
{
    for (std::uint64_t identity = 1; identity <= 1000; ++identity) {
        promise(identity, 10);
    }
    BOOST_TEST(schedule.size() >= 298U);
    BOOST_TEST(schedule.size() <= 300U);
    const Duration told = promise(5000, 10);
    BOOST_TEST((told >= 59900ms && told <= 60s));
}

BOOST_FIXTURE_TEST_CASE(expire_callersThatDidNotReturn_areForgottenAndOthersKept, ScheduleFixture)
{
    promise(1, 100);
    const Instant later = Start + 1s;
    const Duration told = promise(2, 100, later);
    schedule.expire(Start + 1300ms);
    BOOST_TEST(schedule.size() == 1U);
    BOOST_TEST(schedule.returns(2, later + told));
}

// Guards against room that stays reserved after its time.
BOOST_FIXTURE_TEST_CASE(promise_afterAPause_beginsAnew, ScheduleFixture)
{
    for (std::uint64_t identity = 1; identity <= 1000; ++identity) {
        promise(identity, 100);
    }
    const Instant later = Start + 1h;
    schedule.expire(later);
    BOOST_TEST(schedule.size() == 0U);
    BOOST_TEST((promise(1, 100, later) < 200ms));
}

BOOST_AUTO_TEST_SUITE_END()
