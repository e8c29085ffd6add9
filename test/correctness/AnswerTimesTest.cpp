// The usual time of a service's answers, which limits how long a request may wait for a place.

#include "forward/AnswerTimes.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;

BOOST_AUTO_TEST_SUITE(AnswerTimesTest)

BOOST_AUTO_TEST_CASE(usual_noAnswerYet_isZero)
{
    BOOST_TEST((forward::AnswerTimes().usual("pool") == 0ms));
}

// A mean that began at zero would let the first requests wait until their answers are late.
BOOST_AUTO_TEST_CASE(usual_firstAnswer_isItsTime)
{
    forward::AnswerTimes times;
    times.note("pool", 60ms);
    BOOST_TEST((times.usual("pool") == 60ms));
    BOOST_TEST((times.usual("other") == 0ms));
}

BOOST_AUTO_TEST_CASE(usual_oneSlowAnswer_movesByATenth)
{
    forward::AnswerTimes times;
    times.note("pool", 60ms);
    times.note("pool", 160ms);
    BOOST_TEST((times.usual("pool") == 70ms));
}

// Shown by a service that becomes slower for good.
BOOST_AUTO_TEST_CASE(usual_lastingChange_isFollowed)
{
    forward::AnswerTimes times;
    times.note("pool", 15ms);
    for (int answer = 0; answer < 50; ++answer) {
        times.note("pool", 60ms);
    }
    BOOST_TEST((times.usual("pool") > 59ms));
}

BOOST_AUTO_TEST_SUITE_END()
