// The permits of one resource: bound, leases, lost messages, takeover, fairness.

#include "routing/PermitLedger.h"
#include "admission/FairShare.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace limereel;
using kernel::Instant;
using routing::Bounds;
using routing::GrantResult;
using routing::PermitLedger;
using routing::PermitRequest;

namespace {

Instant at(std::chrono::milliseconds sinceStart)
{
    return Instant(kernel::Duration(3600s) + sinceStart);
}

constexpr Bounds Three{.bound = 3, .settlingBound = 2, .slots = 100, .unaccountedLoad = 0};

struct LedgerFixture
{
    PermitLedger ledger{{.lease = 10s, .settle = 5s, .reservedShare = 0}, at(0ms), false};
};

/**
 * The naive ledger: a map of the permits and their ends, without other state to keep consistent.
 */
struct NaiveLedger
{
    std::map<std::uint64_t, Instant> ends;

    std::size_t inFlight(Instant now)
    {
        std::erase_if(ends, [now](const auto &entry) { return entry.second <= now; });
        return ends.size();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PermitLedgerTest)

BOOST_FIXTURE_TEST_CASE(ask_upToBound_isGrantedThenFull, LedgerFixture)
{
    for (std::uint64_t request = 1; request <= 3; ++request) {
        BOOST_TEST((ledger.ask({request, 1, 0}, Three, at(0ms)) == GrantResult::Granted));
    }
    BOOST_TEST((ledger.ask({4, 1, 0}, Three, at(0ms)) == GrantResult::Full));
}

BOOST_FIXTURE_TEST_CASE(ask_repeatedAfterLostAnswer_isCountedOnce, LedgerFixture)
{
    ledger.ask({1, 1, 0}, Three, at(0ms));
    BOOST_TEST((ledger.ask({1, 1, 0}, Three, at(50ms)) == GrantResult::Granted));
    BOOST_TEST(ledger.inFlight() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ask_leaving_isRefusedWhilePermitsStayValid, LedgerFixture)
{
    ledger.ask({1, 1, 0}, Three, at(0ms));
    ledger.setLeaving(true);
    BOOST_TEST((ledger.ask({2, 1, 0}, Three, at(0ms)) == GrantResult::Leaving));
    BOOST_TEST((ledger.ask({1, 1, 0}, Three, at(0ms)) == GrantResult::Granted));
    BOOST_TEST(ledger.inFlight() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ask_engineReportsUnaccountedLoad_isCountedAgainstTheBound, LedgerFixture)
{
    Bounds bounds = Three;
    bounds.unaccountedLoad = 2;
    BOOST_TEST((ledger.ask({1, 1, 0}, bounds, at(0ms)) == GrantResult::Granted));
    BOOST_TEST((ledger.ask({2, 1, 0}, bounds, at(0ms)) == GrantResult::Full));
}

BOOST_FIXTURE_TEST_CASE(expire_routerDied_freesItsPermitsAfterTheLease, LedgerFixture)
{
    ledger.ask({1, 1, 0}, Three, at(0ms));
    ledger.ask({2, 2, 0}, Three, at(0ms));
    ledger.renew({2, 2, 0}, at(9s));
    BOOST_TEST(ledger.expire(at(9999ms)) == 0U);
    BOOST_TEST(ledger.expire(at(10s)) == 1U);
    BOOST_TEST(ledger.inFlight() == 1U);
}

BOOST_FIXTURE_TEST_CASE(giveBack_twiceOrUnknown_changesNothing, LedgerFixture)
{
    ledger.ask({1, 1, 0}, Three, at(0ms));
    BOOST_TEST(ledger.giveBack(1));
    BOOST_TEST(!ledger.giveBack(1));
    BOOST_TEST(!ledger.giveBack(9));
    BOOST_TEST(ledger.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(takeover_whileSettling_grantsUpToTheMeanAndAdoptsRenewals)
{
    PermitLedger ledger({.lease = 10s, .settle = 5s, .reservedShare = 0}, at(0ms), true);
    BOOST_TEST((ledger.ask({1, 1, 0}, Three, at(0ms)) == GrantResult::Granted));
    ledger.renew({2, 2, 0}, at(1s));
    BOOST_TEST((ledger.ask({3, 1, 0}, Three, at(4999ms)) == GrantResult::Full));
    BOOST_TEST((ledger.ask({3, 1, 0}, Three, at(5s)) == GrantResult::Granted));
    BOOST_TEST((ledger.ask({4, 1, 0}, Three, at(5s)) == GrantResult::Full));
}

BOOST_AUTO_TEST_CASE(fairness_oneSurges_othersStillGetPermits)
{
    PermitLedger ledger({.lease = 10s, .settle = 5s, .reservedShare = 0.25}, at(0ms), false);
    const Bounds twenty{.bound = 20, .settlingBound = 20, .slots = 100, .unaccountedLoad = 0};
    std::uint64_t request = 0;
    int surging = 0;
    while (ledger.ask({++request, 1, 7}, twenty, at(0ms)) == GrantResult::Granted) {
        ++surging;
    }
    BOOST_TEST(surging == 15);
    for (std::uint64_t other = 100; other < 105; ++other) {
        BOOST_TEST((ledger.ask({++request, 1, other}, twenty, at(0ms)) == GrantResult::Granted));
    }
    BOOST_TEST((ledger.ask({++request, 1, 105}, twenty, at(0ms)) == GrantResult::Full));
}

BOOST_AUTO_TEST_CASE(fairness_withoutReserve_othersGetNoPermit)
{
    // The same surge without a reserve, to show what the reserve is for.
    PermitLedger ledger({.lease = 10s, .settle = 5s, .reservedShare = 0}, at(0ms), false);
    const Bounds twenty{.bound = 20, .settlingBound = 20, .slots = 100, .unaccountedLoad = 0};
    for (std::uint64_t request = 1; request <= 20; ++request) {
        ledger.ask({request, 1, 7}, twenty, at(0ms));
    }
    BOOST_TEST((ledger.ask({21, 1, 100}, twenty, at(0ms)) == GrantResult::Full));
}

BOOST_AUTO_TEST_CASE(randomHistory_anyOrderOfMessages_countsLikeNaive)
{
    std::mt19937_64 random(5);
    const kernel::Duration lease = 10s;
    PermitLedger ledger({.lease = lease, .settle = 0s, .reservedShare = 0}, at(0ms), false);
    NaiveLedger naive;
    Instant now = at(0ms);
    for (int step = 0; step < 50000; ++step) {
        now += kernel::Duration(random() % 200000);
        ledger.expire(now);
        const std::size_t before = naive.inFlight(now);
        const std::uint64_t request = random() % 300;
        switch (random() % 3) {
        case 0: {
            const bool known = naive.ends.contains(request);
            const bool granted = ledger.ask({request, 1, request % 5}, {30, 30, 100, 0}, now)
                                 == GrantResult::Granted;
            BOOST_TEST(granted == (known || before < 30));
            if (granted) {
                naive.ends[request] = now + lease;
            }
            break;
        }
        case 1:
            BOOST_TEST(ledger.giveBack(request) == (naive.ends.erase(request) == 1));
            break;
        default:
            if (naive.ends.contains(request)) {
                ledger.renew({request, 1, request % 5}, now);
                naive.ends[request] = now + lease;
            }
            break;
        }
        BOOST_TEST(ledger.inFlight() == naive.inFlight(now));
    }
}

BOOST_AUTO_TEST_CASE(fairShareAllows_eachRow_decidesAsExpected)
{
    struct Row
    {
        admission::ShareView view;
        bool allowed;
    };
    const Row rows[] = {
            {{.limit = 20, .taken = 0, .own = 0, .organisations = 1, .reservedShare = 0.25}, true},
            {{.limit = 20, .taken = 14, .own = 14, .organisations = 1, .reservedShare = 0.25},
             true},
            {{.limit = 20, .taken = 15, .own = 15, .organisations = 1, .reservedShare = 0.25},
             false},
            {{.limit = 20, .taken = 15, .own = 0, .organisations = 2, .reservedShare = 0.25}, true},
            {{.limit = 20, .taken = 19, .own = 5, .organisations = 3, .reservedShare = 0.25},
             false},
            {{.limit = 1, .taken = 0, .own = 0, .organisations = 1, .reservedShare = 0.25}, true},
    };
    for (const Row &row : rows) {
        BOOST_TEST(admission::fairShareAllows(row.view) == row.allowed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
