// Time that goes on only while the process is awake.

#include "kernel/decisions/AwakeTime.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using kernel::Instant;

BOOST_AUTO_TEST_SUITE(AwakeTimeTest)

BOOST_AUTO_TEST_CASE(at_calledInTime_goesLikeTheClock)
{
    kernel::AwakeTime time(100ms);
    const Instant begin(10s);
    for (int round = 0; round < 10; ++round) {
        const Instant now = begin + round * 149ms;
        BOOST_TEST((time.at(now) == now));
    }
}

BOOST_AUTO_TEST_CASE(at_calledAfterAStandstill_standstillIsLeftOut)
{
    kernel::AwakeTime time(100ms);
    const Instant begin(10s);
    const Instant first = time.at(begin);
    BOOST_TEST((time.at(begin + 60s) - first == kernel::Duration(150ms)));
    BOOST_TEST((time.at(begin + 60s + 100ms) - first == kernel::Duration(250ms)));
}

BOOST_AUTO_TEST_CASE(at_severalStandstills_allAreLeftOut)
{
    kernel::AwakeTime time(100ms);
    const Instant begin(10s);
    const Instant first = time.at(begin);
    time.at(begin + 5s);
    BOOST_TEST((time.at(begin + 10s) - first == kernel::Duration(300ms)));
}

BOOST_AUTO_TEST_SUITE_END()
