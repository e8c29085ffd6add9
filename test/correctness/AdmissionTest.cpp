// Limits of organisations, rates, and the delay after which a refused caller should retry.

#include "admission/QuotaTable.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;
using admission::DrainRate;
using admission::QuotaLimits;
using admission::QuotaTable;
using admission::TokenBucket;
using kernel::Instant;
using routing::GrantResult;

namespace {

Instant at(std::chrono::milliseconds sinceStart)
{
    return Instant(kernel::Duration(3600s) + sinceStart);
}

struct QuotaFixture
{
    GrantResult ask(std::uint64_t organisation, QuotaLimits limits, Instant now)
    {
        return quotas.ask(organisation, limits, {++request, 1, 0}, now, random).result;
    }

    QuotaTable quotas{{.lease = 10s, .settle = 5s, .reservedShare = 0.25}};
    std::mt19937_64 random{1};
    std::uint64_t request = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTest)

BOOST_FIXTURE_TEST_CASE(quota_maxConcurrent_isPerOrganisationAndFreedByReturnOrExpiry, QuotaFixture)
{
    const QuotaLimits two{.maxConcurrent = 2, .perMinute = 0};
    BOOST_TEST((ask(1, two, at(0ms)) == GrantResult::Granted));
    BOOST_TEST((ask(1, two, at(0ms)) == GrantResult::Granted));
    BOOST_TEST((ask(1, two, at(0ms)) == GrantResult::Full));
    BOOST_TEST((ask(2, two, at(0ms)) == GrantResult::Granted));
    BOOST_TEST(quotas.giveBack(1, 1, at(1s)));
    BOOST_TEST((ask(1, two, at(1s)) == GrantResult::Granted));
    BOOST_TEST(quotas.expire(at(12s)) == 3U);
    BOOST_TEST((ask(1, two, at(12s)) == GrantResult::Granted));
    BOOST_TEST(!quotas.giveBack(99, 1, at(12s)));
}

BOOST_FIXTURE_TEST_CASE(quota_perMinute_isNotExceeded, QuotaFixture)
{
    const QuotaLimits limits{.maxConcurrent = 100000, .perMinute = 60};
    int granted = 0;
    for (int tenth = 0; tenth < 600; ++tenth) {
        granted +=
                ask(1, limits, at(std::chrono::milliseconds(tenth * 100))) == GrantResult::Granted
                        ? 1
                        : 0;
    }
    // A minute's requests, plus the burst that may begin at once.
    BOOST_TEST(granted <= 60 + 10);
    BOOST_TEST(granted >= 60);
}

BOOST_FIXTURE_TEST_CASE(quota_renewedAtANewOwner_isCountedThere, QuotaFixture)
{
    quotas.renew(1, {77, 1, 0}, at(0ms));
    BOOST_TEST((ask(1, {.maxConcurrent = 1, .perMinute = 0}, at(0ms)) == GrantResult::Full));
    BOOST_TEST(quotas.giveBack(1, 77, at(1s)));
    BOOST_TEST((ask(1, {.maxConcurrent = 1, .perMinute = 0}, at(1s)) == GrantResult::Granted));
}

BOOST_AUTO_TEST_CASE(tokenBucket_afterItsWait_givesOne)
{
    TokenBucket bucket(4, 1, at(0ms));
    BOOST_TEST(bucket.take(at(0ms)));
    BOOST_TEST(!bucket.take(at(0ms)));
    const auto wait = bucket.wait(at(0ms));
    BOOST_TEST((wait == kernel::Duration(250ms)));
    BOOST_TEST(bucket.take(at(250ms)));
}

BOOST_AUTO_TEST_CASE(drainRate_moreRefusals_lengthenTheRetryDelayWithinItsBounds)
{
    std::mt19937_64 random(1);
    DrainRate drain(at(0ms));
    for (int second = 0; second < 30; ++second) {
        for (int end = 0; end < 10; ++end) {
            drain.noteEnd(at(std::chrono::seconds(second)));
        }
    }
    const auto shortest = drain.retryDelay(at(30s), random);
    BOOST_TEST((shortest >= kernel::Duration(1s) && shortest <= kernel::Duration(1500ms)));
    for (int refusal = 0; refusal < 100; ++refusal) {
        drain.noteRefusal(at(30s));
    }
    const auto busy = drain.retryDelay(at(30s), random);
    BOOST_TEST((busy >= kernel::Duration(10s) && busy <= kernel::Duration(16s)));
    for (int refusal = 0; refusal < 100000; ++refusal) {
        drain.noteRefusal(at(30s));
    }
    BOOST_TEST((drain.retryDelay(at(30s), random) <= kernel::Duration(90s)));
}

BOOST_AUTO_TEST_SUITE_END()
