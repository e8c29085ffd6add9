// The pace of one server: how fast it follows answers, and how it decays without any.

#include "forward/AnswerPace.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;
using forward::AnswerPace;
using forward::paceFactor;
using kernel::Duration;

namespace {

const kernel::Instant Start{1000s};

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerPaceTest)

BOOST_AUTO_TEST_CASE(mean_noAnswer_isZero)
{
    const AnswerPace pace;
    BOOST_TEST((pace.mean(Start) == 0s));
    BOOST_TEST((pace.current(Start) == 0s));
}

BOOST_AUTO_TEST_CASE(mean_threeAnswersOfAnotherPace_isHalfWay)
{
    AnswerPace pace;
    pace.note(20ms, Start);
    for (int answer = 0; answer < 3; ++answer) {
        pace.note(100ms, Start);
    }
    BOOST_TEST((pace.mean(Start) >= 59900us && pace.mean(Start) <= 60100us));
}

// Guards against a server that is seldom used and keeps an old mean for many of its answers.
BOOST_AUTO_TEST_CASE(mean_answerAfterThreeSeconds_countsMore)
{
    AnswerPace soon;
    soon.note(20ms, Start);
    AnswerPace late = soon;
    soon.note(100ms, Start);
    late.note(100ms, Start + 3s);
    BOOST_TEST((soon.mean(Start) < 40ms));
    BOOST_TEST((late.mean(Start + 3s) > 65ms));
}

// Guards against a mean that depends on how often a server is used: decayed values in the sum would
// make a seldom used server look fast.
BOOST_AUTO_TEST_CASE(mean_equalAnswersAtAnyRate_isTheTimeOfOne)
{
    for (const Duration interval : {Duration(10ms), Duration(1s), Duration(5s), Duration(20s)}) {
        AnswerPace pace;
        kernel::Instant now = Start;
        for (int answer = 0; answer < 20; ++answer) {
            now += interval;
            pace.note(60ms, now);
        }
        BOOST_TEST((pace.mean(now) == 60ms));
    }
}

// Guards against a slow server that isn't tried again: one that was six times slower counts as
// equal after 5 s.
BOOST_AUTO_TEST_CASE(current_withoutAnswers_decaysAndIsForgotten)
{
    AnswerPace pace;
    pace.note(240ms, Start);
    BOOST_TEST((pace.current(Start) == 240ms));
    BOOST_TEST((pace.current(Start + 3s) == 120ms));
    BOOST_TEST(paceFactor(pace.current(Start + 5s), 40ms) == 1);
    BOOST_TEST((pace.mean(Start + 11999ms) == 240ms));
    BOOST_TEST((pace.mean(Start + 12s) == 0s));
    BOOST_TEST((pace.current(Start + 12s) == 0s));
}

BOOST_AUTO_TEST_CASE(paceFactor_differencesBelowTwo_countAsNone)
{
    BOOST_TEST(paceFactor(20ms, 20ms) == 1);
    BOOST_TEST(paceFactor(10ms, 20ms) == 1);
    BOOST_TEST(paceFactor(39ms, 20ms) == 1);
    BOOST_TEST(paceFactor(40ms, 20ms) == 2);
    BOOST_TEST(paceFactor(120ms, 20ms) == 6);
    BOOST_TEST(paceFactor(120ms, 0ms) == 1);
    BOOST_TEST(paceFactor(0ms, 20ms) == 1);
}

// Guards against tracking noise that changes with nearly every answer: smoothed, a noise of a
// factor 2.5 on one of two equal servers seldom counts as a difference, where the last values of
// the two differ that much in a quarter of the cases.
BOOST_AUTO_TEST_CASE(paceFactor_noisyEqualServers_seldomDiffer)
{
    std::mt19937_64 random(1);
    AnswerPace one;
    AnswerPace other;
    int differ = 0;
    constexpr int Answers = 10000;
    for (int answer = 0; answer < Answers; ++answer) {
        const kernel::Instant now = Start + answer * 100ms;
        one.note(random() % 2 == 0 ? 20ms : 50ms, now);
        other.note(random() % 2 == 0 ? 20ms : 50ms, now);
        differ += paceFactor(one.current(now), other.mean(now)) > 1 ? 1 : 0;
    }
    BOOST_TEST(differ < Answers / 50);
}

BOOST_AUTO_TEST_SUITE_END()
