// Records of requests during which backend servers crash: what is counted, what stops a request,
// what clears a record, and that merging gives the same result in any order.

#include "forward/CrashTable.h"
#include "forward/SingleSendLeases.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;
using namespace limereel::forward;

namespace {

kernel::Instant at(kernel::Duration since)
{
    return kernel::Instant(1000s) + since;
}

RequestIdentity request(std::uint64_t number)
{
    return {number % 7, number, number};
}

class CrashTableFixture
{
public:
    void crash(std::uint64_t server, bool alone = false, kernel::Duration since = 0s)
    {
        table.noteCrash(Suspect, server, alone, at(since));
    }

    const RequestIdentity Suspect = request(1);
    CrashTable table;
};

CrashRecord randomRecord(std::mt19937_64 &random)
{
    CrashRecord record{.request = request(1)};
    record.round = static_cast<std::uint32_t>(random() % 3);
    record.failedTrials = static_cast<std::uint32_t>(random() % 3);
    for (std::uint64_t server = 0; server < 14; ++server) {
        if (random() % 2 == 0) {
            record.servers.push_back(server);
        }
    }
    record.servers.resize(std::min<std::size_t>(record.servers.size(), 8));
    return record;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashTableTest, CrashTableFixture)

BOOST_AUTO_TEST_CASE(restriction_serversCrashOneAfterTheOther_freeThenAloneThenStopped)
{
    BOOST_TEST((table.restriction(Suspect, at(0s)) == SendRestriction::Free));
    crash(1);
    BOOST_TEST((table.restriction(Suspect, at(0s)) == SendRestriction::Free));
    crash(1);
    BOOST_TEST((table.restriction(Suspect, at(0s)) == SendRestriction::Free));
    crash(2);
    BOOST_TEST((table.restriction(Suspect, at(0s)) == SendRestriction::Alone));
    crash(3, true);
    BOOST_TEST((table.restriction(Suspect, at(0s)) == SendRestriction::Stopped));
    BOOST_TEST((table.restriction(request(2), at(0s)) == SendRestriction::Free));
}

// A frequent request runs on many servers at a time, so a wave of crashes that hits them all proves
// nothing about it.
BOOST_AUTO_TEST_CASE(restriction_manyServersCrashAtOnce_runsAloneAndIsFreeOnceAnswered)
{
    for (std::uint64_t server = 1; server <= 40; ++server) {
        crash(server);
    }
    BOOST_TEST((table.restriction(Suspect, at(0s)) == SendRestriction::Alone));
    BOOST_TEST(table.forget(Suspect, at(1s)));
    BOOST_TEST((table.restriction(Suspect, at(1s)) == SendRestriction::Free));
    BOOST_TEST(!table.forget(Suspect, at(1s)));
}

BOOST_AUTO_TEST_CASE(restriction_stopped_runsAloneAgainAfterGrowingPausesAndFinallyNeverAgain)
{
    const CrashPolicy policy;
    crash(1);
    crash(2);
    kernel::Duration now = 0s;
    std::uint64_t server = 10;
    for (std::uint32_t trial = 1; trial < policy.maxFailedTrials; ++trial) {
        crash(server++, true, now);
        const kernel::Duration held = table.stoppedFor(Suspect, at(now));
        BOOST_TEST((table.restriction(Suspect, at(now + held - 1s)) == SendRestriction::Stopped));
        now += held;
        BOOST_TEST((table.restriction(Suspect, at(now)) == SendRestriction::Alone));
    }
    crash(server, true, now);
    BOOST_TEST((table.restriction(Suspect, at(now + 10 * policy.remembered))
                == SendRestriction::Stopped));
}

// A frequent request often runs on a server that another request crashes, also while it runs alone.
BOOST_AUTO_TEST_CASE(restriction_wasAnsweredBefore_isStoppedOnlyAfterAsManyMoreCrashes)
{
    crash(1);
    table.forget(Suspect, at(1s));
    crash(2);
    table.forget(Suspect, at(2s));
    crash(3);
    crash(4);
    crash(5, true);
    BOOST_TEST((table.restriction(Suspect, at(3s)) == SendRestriction::Alone));
    crash(6, true);
    BOOST_TEST((table.restriction(Suspect, at(3s)) == SendRestriction::Alone));
    crash(7, true);
    BOOST_TEST((table.restriction(Suspect, at(3s)) == SendRestriction::Stopped));
}

// Two features that always come together can't be told apart; what comes with one of them can.
BOOST_AUTO_TEST_CASE(verdict_twoFeaturesAlwaysTogether_requestsWithOneOfThemMayBeTried)
{
    const std::vector<CrashFeature> both = {{request(1), 1}, {request(2), 2}};
    for (const std::uint64_t server : {1U, 2U, 3U}) {
        for (const CrashFeature &feature : both) {
            table.noteCrash(feature.identity, server, server == 3, at(0s));
        }
    }
    BOOST_TEST((table.verdict(both, at(1s)).restriction == SendRestriction::Stopped));
    for (const CrashFeature &one : both) {
        BOOST_TEST((table.verdict({&one, 1}, at(1s)).restriction == SendRestriction::Alone));
    }
    table.forget(request(1), at(2s));
    BOOST_TEST((table.verdict({&both[1], 1}, at(2s)).restriction == SendRestriction::Stopped));
    BOOST_TEST((table.verdict({both.data(), 1}, at(2s)).restriction == SendRestriction::Free));
}

// The harmless one ran alone at a server that the other one ended.
BOOST_AUTO_TEST_CASE(verdict_crashIsExplainedByAnotherFeature_doesNotCount)
{
    for (const std::uint64_t server : {1U, 2U}) {
        crash(server);
    }
    for (const std::uint64_t server : {5U, 6U, 7U, 8U}) {
        table.noteCrash(request(2), server, server != 5, at(0s));
    }
    crash(7, true);
    const CrashFeature harmless{Suspect};
    const CrashFeature crashing{request(2)};
    BOOST_TEST((table.verdict({&harmless, 1}, at(0s)).restriction == SendRestriction::Alone));
    BOOST_TEST((table.verdict({&crashing, 1}, at(0s)).restriction == SendRestriction::Stopped));
}

BOOST_AUTO_TEST_CASE(verdict_severalSuspectedParts_waitsAMomentForFewer)
{
    const std::vector<CrashFeature> both = {{request(1), 1}, {request(2), 2}};
    for (const CrashFeature &feature : both) {
        table.noteCrash(feature.identity, 1, false, at(0s));
        table.noteCrash(feature.identity, 2, false, at(0s));
    }
    BOOST_TEST((table.verdict(both, at(0s)).waits == 200ms));
    BOOST_TEST((table.verdict(both, at(200ms)).waits == 0s));
    BOOST_TEST((table.verdict({both.data(), 1}, at(0s)).waits == 0s));
}

// Guards against harmless requests that are refused for long as a part of theirs is taken for what
// several others crash servers by.
BOOST_AUTO_TEST_CASE(verdict_partIsStopped_isTriedAgainSoonerThanAWholeRequest)
{
    const CrashFeature part{Suspect, 1};
    const CrashFeature whole{Suspect};
    crash(1);
    crash(2);
    crash(3, true);
    BOOST_TEST((table.verdict({&part, 1}, at(9s)).restriction == SendRestriction::Stopped));
    BOOST_TEST((table.verdict({&part, 1}, at(10s)).restriction == SendRestriction::Alone));
    BOOST_TEST((table.verdict({&whole, 1}, at(10s)).restriction == SendRestriction::Stopped));
    // Another send alone failed at about the same moment.
    crash(4, true, 1s);
    BOOST_TEST((table.verdict({&part, 1}, at(10s)).restriction == SendRestriction::Stopped));
    BOOST_TEST((table.verdict({&part, 1}, at(11s)).restriction == SendRestriction::Alone));
    crash(5, true, 11s);
    BOOST_TEST((table.verdict({&part, 1}, at(90s)).restriction == SendRestriction::Stopped));
    BOOST_TEST((table.verdict({&part, 1}, at(91s)).restriction == SendRestriction::Alone));
}

BOOST_AUTO_TEST_CASE(explainedBy_featureHasNoOtherCrashes_isNamed)
{
    for (const std::uint64_t server : {1U, 2U, 3U}) {
        crash(server);
    }
    table.noteCrash(request(2), 2, false, at(0s));
    table.noteCrash(request(3), 3, false, at(0s));
    table.noteCrash(request(3), 4, false, at(0s));
    BOOST_TEST((table.explainedBy(Suspect) == std::vector<RequestIdentity>{request(2)}));
}

BOOST_AUTO_TEST_CASE(merge_clearedElsewhere_olderRoundsAreVoid)
{
    crash(1);
    crash(2);
    const CrashRecord before = table.record(Suspect);
    table.forget(Suspect, at(1s));
    BOOST_TEST(!table.merge(before, at(2s)));
    BOOST_TEST((table.restriction(Suspect, at(2s)) == SendRestriction::Free));
    BOOST_TEST(table.isShared(Suspect));
}

BOOST_AUTO_TEST_CASE(merge_bothRecordsEmpty_nothingIsKept)
{
    BOOST_TEST(!table.merge({.request = Suspect}, at(0s)));
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(!table.concerns(Suspect.shape));
}

BOOST_AUTO_TEST_CASE(mergedRecord_anyOrderAnyNumberOfTimes_isTheSame)
{
    std::mt19937_64 random(5);
    for (int history = 0; history < 500; ++history) {
        const CrashRecord a = randomRecord(random);
        const CrashRecord b = randomRecord(random);
        const CrashRecord c = randomRecord(random);
        BOOST_TEST((mergedRecord(a, b) == mergedRecord(b, a)));
        BOOST_TEST((mergedRecord(mergedRecord(a, b), c) == mergedRecord(a, mergedRecord(b, c))));
        BOOST_TEST((mergedRecord(a, a) == a));
    }
}

BOOST_AUTO_TEST_CASE(records_floodOfOthers_stoppedOnesStay)
{
    CrashTable smallTable{CrashPolicy{.records = 100}};
    smallTable.noteCrash(Suspect, 1, false, at(0s));
    smallTable.noteCrash(Suspect, 2, false, at(0s));
    smallTable.noteCrash(Suspect, 3, true, at(0s));
    for (std::uint64_t number = 2; number < 5000; ++number) {
        smallTable.noteCrash(request(number), number, false, at(1s));
    }
    BOOST_TEST(smallTable.size() == 100U);
    BOOST_TEST((smallTable.restriction(Suspect, at(2s)) == SendRestriction::Stopped));
}

BOOST_AUTO_TEST_CASE(expire_oldRecords_areDroppedWithTheirShapes)
{
    crash(1);
    table.expire(at(23h));
    BOOST_TEST(table.size() == 1U);
    table.expire(at(24h));
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(!table.concerns(Suspect.shape));
}

BOOST_AUTO_TEST_CASE(singleSendLeases_oneSendRuns_othersWaitUntilItEnds)
{
    SingleSendLeases leases;
    BOOST_TEST((leases.tryAcquire(Suspect, 1, at(5s), at(0s)) == 0s));
    BOOST_TEST((leases.tryAcquire(Suspect, 2, at(6s), at(1s)) == 4s));
    BOOST_TEST((leases.tryAcquire(Suspect, 1, at(5s), at(1s)) == 0s));
    leases.releaseLease(Suspect, 2);
    BOOST_TEST((leases.tryAcquire(Suspect, 2, at(6s), at(1s)) == 4s));
    leases.releaseLease(Suspect, 1);
    BOOST_TEST((leases.tryAcquire(Suspect, 2, at(6s), at(1s)) == 0s));
    BOOST_TEST((leases.tryAcquire(Suspect, 3, at(9s), at(7s)) == 0s));
    leases.expire(at(20s));
    BOOST_TEST(leases.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
