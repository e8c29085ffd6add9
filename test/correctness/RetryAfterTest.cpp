// What is read from the Retry-After fields of an answer.

#include "http/RetryAfter.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using http::RetryAfter;

namespace {

// 6 November 1994, 08:49:37.
const auto Noon = std::chrono::system_clock::from_time_t(784111777);

RetryAfter read(const std::string &value)
{
    return http::retryAfter(http::Fields().with("Retry-After", value), Noon);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryAfterTest)

BOOST_AUTO_TEST_CASE(retryAfter_seconds_areReadWholeAndFractional)
{
    BOOST_TEST((read("3") == RetryAfter{3s, false}));
    BOOST_TEST((read(" 3 ") == RetryAfter{3s, false}));
    BOOST_TEST((read("0.25") == RetryAfter{250ms, false}));
    BOOST_TEST((read("0") == RetryAfter{0s, false}));
    BOOST_TEST((read("003") == RetryAfter{3s, false}));
}

BOOST_AUTO_TEST_CASE(retryAfter_noField_saysNothing)
{
    BOOST_TEST((http::retryAfter(http::Fields(), Noon) == RetryAfter{}));
}

BOOST_AUTO_TEST_CASE(retryAfter_whatIsNoNumberOfSeconds_isUnreadable)
{
    for (const char *value : {"", " ", "-1", "+1", "nan", "inf", "1e3", "0x3", "3s", ".", ".5",
                              "5.", "1.2.3", "3;", "soon", "1 2"}) {
        BOOST_TEST_CONTEXT(value)
        {
            BOOST_TEST((read(value) == RetryAfter{std::nullopt, true}));
        }
    }
}

BOOST_AUTO_TEST_CASE(retryAfter_hugeNumbers_areTheLongestWait)
{
    BOOST_TEST((read("99999999999999999999") == RetryAfter{http::LongestRetryAfter, false}));
    BOOST_TEST((read(std::string(500, '9')) == RetryAfter{http::LongestRetryAfter, false}));
}

BOOST_AUTO_TEST_CASE(retryAfter_severalValues_theLongestCounts)
{
    const auto two = http::Fields().with("Retry-After", "1").with("retry-after", "3");
    BOOST_TEST((http::retryAfter(two, Noon) == RetryAfter{3s, false}));
    BOOST_TEST((read("3, 1") == RetryAfter{3s, false}));
    BOOST_TEST((read("2, soon") == RetryAfter{2s, true}));
}

BOOST_AUTO_TEST_CASE(retryAfter_date_isTakenAgainstTheAnswersOwnDate)
{
    const std::string later = "Sun, 06 Nov 1994 08:49:47 GMT";
    BOOST_TEST((read(later) == RetryAfter{10s, false}));
    const auto dated =
            http::Fields().with("Retry-After", later).with("Date", "Sun, 06 Nov 1994 08:49:44 GMT");
    BOOST_TEST((http::retryAfter(dated, Noon) == RetryAfter{3s, false}));
    BOOST_TEST((read("Sun, 06 Nov 1994 08:49:07 GMT") == RetryAfter{0s, false}));
    BOOST_TEST(
            (read("Sun, 06 Nov 2094 08:49:07 GMT") == RetryAfter{http::LongestRetryAfter, false}));
    BOOST_TEST((read("Sun, 36 Nov 1994 08:49:07 GMT") == RetryAfter{std::nullopt, true}));
}

BOOST_AUTO_TEST_SUITE_END()
