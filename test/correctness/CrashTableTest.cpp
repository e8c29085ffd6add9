// Requests under which backend servers end: what is counted, what stops, what clears, and that
// records say the same whatever way they were joined.

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

class BookFixture
{
public:
    void end(std::uint64_t server, bool alone = false, kernel::Duration since = 0s)
    {
        book.noteCrash(Guilty, server, alone, at(since));
    }

    const RequestIdentity Guilty = request(1);
    CrashTable book;
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

BOOST_FIXTURE_TEST_SUITE(CrashTableTest, BookFixture)

BOOST_AUTO_TEST_CASE(standing_serversEndOneAfterTheOther_freeThenAloneThenStopped)
{
    BOOST_TEST((book.restriction(Guilty, at(0s)) == SendRestriction::Free));
    end(1);
    BOOST_TEST((book.restriction(Guilty, at(0s)) == SendRestriction::Free));
    end(1);
    BOOST_TEST((book.restriction(Guilty, at(0s)) == SendRestriction::Free));
    end(2);
    BOOST_TEST((book.restriction(Guilty, at(0s)) == SendRestriction::Alone));
    end(3, true);
    BOOST_TEST((book.restriction(Guilty, at(0s)) == SendRestriction::Stopped));
    BOOST_TEST((book.restriction(request(2), at(0s)) == SendRestriction::Free));
}

// A popular request runs on many servers at once; a storm that ends them all proves nothing.
BOOST_AUTO_TEST_CASE(standing_manyServersEndAtOnce_runsAloneAndIsFreeOnceAnswered)
{
    for (std::uint64_t server = 1; server <= 40; ++server) {
        end(server);
    }
    BOOST_TEST((book.restriction(Guilty, at(0s)) == SendRestriction::Alone));
    BOOST_TEST(book.forget(Guilty, at(1s)));
    BOOST_TEST((book.restriction(Guilty, at(1s)) == SendRestriction::Free));
    BOOST_TEST(!book.forget(Guilty, at(1s)));
}

BOOST_AUTO_TEST_CASE(standing_stopped_runsAloneAgainAfterLongerAndLongerAndThenNotAnyMore)
{
    const CrashPolicy policy;
    end(1);
    end(2);
    kernel::Duration now = 0s;
    std::uint64_t server = 10;
    for (std::uint32_t trial = 1; trial < policy.maxFailedTrials; ++trial) {
        end(server++, true, now);
        const kernel::Duration held = book.stoppedFor(Guilty, at(now));
        BOOST_TEST((book.restriction(Guilty, at(now + held - 1s)) == SendRestriction::Stopped));
        now += held;
        BOOST_TEST((book.restriction(Guilty, at(now)) == SendRestriction::Alone));
    }
    end(server, true, now);
    BOOST_TEST((book.restriction(Guilty, at(now + 10 * policy.remembered))
                == SendRestriction::Stopped));
}

// A popular harmless request often runs where a guilty one ends a server, also when it runs alone.
BOOST_AUTO_TEST_CASE(standing_wasAnsweredBefore_isStoppedOnlyAfterAsManyMoreEnds)
{
    end(1);
    book.forget(Guilty, at(1s));
    end(2);
    book.forget(Guilty, at(2s));
    end(3);
    end(4);
    end(5, true);
    BOOST_TEST((book.restriction(Guilty, at(3s)) == SendRestriction::Alone));
    end(6, true);
    BOOST_TEST((book.restriction(Guilty, at(3s)) == SendRestriction::Alone));
    end(7, true);
    BOOST_TEST((book.restriction(Guilty, at(3s)) == SendRestriction::Stopped));
}

BOOST_AUTO_TEST_CASE(take_forgottenElsewhere_olderRoundsSayNothing)
{
    end(1);
    end(2);
    const CrashRecord before = book.record(Guilty);
    book.forget(Guilty, at(1s));
    BOOST_TEST(!book.merge(before, at(2s)));
    BOOST_TEST((book.restriction(Guilty, at(2s)) == SendRestriction::Free));
    BOOST_TEST(book.isShared(Guilty));
}

BOOST_AUTO_TEST_CASE(take_nothingIsKnownOnEitherSide_nothingIsKept)
{
    BOOST_TEST(!book.merge({.request = Guilty}, at(0s)));
    BOOST_TEST(book.size() == 0U);
    BOOST_TEST(!book.concerns(Guilty.shape));
}

BOOST_AUTO_TEST_CASE(joined_anyOrderAnyNumberOfTimes_saysTheSame)
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
    CrashTable small{CrashPolicy{.records = 100}};
    small.noteCrash(Guilty, 1, false, at(0s));
    small.noteCrash(Guilty, 2, false, at(0s));
    small.noteCrash(Guilty, 3, true, at(0s));
    for (std::uint64_t number = 2; number < 5000; ++number) {
        small.noteCrash(request(number), number, false, at(1s));
    }
    BOOST_TEST(small.size() == 100U);
    BOOST_TEST((small.restriction(Guilty, at(2s)) == SendRestriction::Stopped));
}

BOOST_AUTO_TEST_CASE(expire_oldRecords_areDroppedWithTheirShapes)
{
    end(1);
    book.expire(at(23h));
    BOOST_TEST(book.size() == 1U);
    book.expire(at(24h));
    BOOST_TEST(book.size() == 0U);
    BOOST_TEST(!book.concerns(Guilty.shape));
}

BOOST_AUTO_TEST_CASE(aloneLedger_oneSendRuns_othersComeBackWhenItIsOver)
{
    SingleSendLeases ledger;
    BOOST_TEST((ledger.tryAcquire(Guilty, 1, at(5s), at(0s)) == 0s));
    BOOST_TEST((ledger.tryAcquire(Guilty, 2, at(6s), at(1s)) == 4s));
    BOOST_TEST((ledger.tryAcquire(Guilty, 1, at(5s), at(1s)) == 0s));
    ledger.releaseLease(Guilty, 2);
    BOOST_TEST((ledger.tryAcquire(Guilty, 2, at(6s), at(1s)) == 4s));
    ledger.releaseLease(Guilty, 1);
    BOOST_TEST((ledger.tryAcquire(Guilty, 2, at(6s), at(1s)) == 0s));
    BOOST_TEST((ledger.tryAcquire(Guilty, 3, at(9s), at(7s)) == 0s));
    ledger.expire(at(20s));
    BOOST_TEST(ledger.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
