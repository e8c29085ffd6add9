// The time since a caller's first try, from the time that it says to have left.

#include "forward/CallerTimeouts.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;
using forward::CallerTimeouts;

BOOST_AUTO_TEST_SUITE(CallerTimeoutsTest)

// Guards against repetitions of refused requests that count as first tries.
BOOST_AUTO_TEST_CASE(sinceFirstTry_lessThanUsual_isTheDifference)
{
    CallerTimeouts timeouts;
    for (int request = 0; request < 20; ++request) {
        timeouts.note("route", 12s);
    }
    BOOST_TEST((timeouts.sinceFirstTry("route", 8s) == 4s));
    BOOST_TEST((timeouts.sinceFirstTry("route", 12s) == 0s));
    BOOST_TEST((timeouts.sinceFirstTry("route", 13s) == 0s));
    BOOST_TEST((timeouts.sinceFirstTry("another", 8s) == 0s));
    BOOST_TEST((timeouts.sinceFirstTry("route", 0s) == 0s));
}

// Guards against a shortage in which most requests are repetitions and hide the usual timeout.
BOOST_AUTO_TEST_CASE(note_overHalfAreRepetitions_usualTimeoutIsKept)
{
    CallerTimeouts timeouts;
    std::mt19937_64 random(7);
    for (int request = 0; request < 10000; ++request) {
        const bool repeated = random() % 100 < 55;
        timeouts.note("route", repeated ? kernel::Duration(1 + random() % 12000000) : 12s);
        BOOST_TEST((request < 100 || timeouts.sinceFirstTry("route", 11s) == 1s));
    }
}

// Guards against callers with different timeouts, of which the shorter would count as repetitions.
BOOST_AUTO_TEST_CASE(note_eachCallerStatesAnother_noneIsUsual)
{
    CallerTimeouts timeouts;
    std::mt19937_64 random(7);
    for (int request = 0; request < 10000; ++request) {
        timeouts.note("route", kernel::Duration(1 + random() % 12000000));
        BOOST_TEST((timeouts.sinceFirstTry("route", 1s) == 0s));
    }
}

// Guards against a usual timeout that stays after the callers of the route have changed theirs.
BOOST_AUTO_TEST_CASE(note_callersChange_newTimeoutIsLearned)
{
    CallerTimeouts timeouts;
    for (int request = 0; request < 1000; ++request) {
        timeouts.note("route", 12s);
    }
    for (int request = 0; request < 210; ++request) {
        timeouts.note("route", 3s);
    }
    BOOST_TEST((timeouts.sinceFirstTry("route", 3s) == 0s));
    BOOST_TEST((timeouts.sinceFirstTry("route", 2s) == 1s));
}

BOOST_AUTO_TEST_SUITE_END()
