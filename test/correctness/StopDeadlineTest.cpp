// The time at which a planned stop aborts the requests that still run.

#include "services/StopDeadline.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using kernel::Instant;

namespace {

const Instant Begun(10s);
const Instant End = Begun + 1s;
constexpr kernel::Duration LookEvery = 20ms;
constexpr kernel::Duration Respite = 200ms;

/** A stop that was polled without a stall until \a awakeUntil. */
services::StopDeadline lookedAtUntil(Instant awakeUntil)
{
    services::StopDeadline end({Begun, End, LookEvery, Respite});
    for (Instant now = Begun; now <= awakeUntil; now += LookEvery) {
        end.expired(now);
    }
    return end;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StopDeadlineTest)

BOOST_AUTO_TEST_CASE(over_looksInTime_isAtTheEnd)
{
    services::StopDeadline end = lookedAtUntil(End - LookEvery - 1us);
    BOOST_TEST(!end.expired(End - 1us));
    BOOST_TEST(end.expired(End));
}

BOOST_AUTO_TEST_CASE(over_standstillPastTheEnd_isAfterARespite)
{
    services::StopDeadline end = lookedAtUntil(Begun + 500ms);
    const Instant awake = End + 5s;
    BOOST_TEST(!end.expired(awake));
    BOOST_TEST(!end.expired(awake + LookEvery));
    BOOST_TEST(end.expired(awake + Respite));
}

BOOST_AUTO_TEST_CASE(over_standstillUntilShortlyBeforeTheEnd_isAfterARespite)
{
    services::StopDeadline end = lookedAtUntil(Begun + 500ms);
    BOOST_TEST(!end.expired(End - 10ms));
    BOOST_TEST(!end.expired(End + 10ms));
    BOOST_TEST(end.expired(End - 10ms + Respite));
}

BOOST_AUTO_TEST_CASE(over_standstillLongBeforeTheEnd_isAtTheEnd)
{
    services::StopDeadline end = lookedAtUntil(Begun + 100ms);
    BOOST_TEST(!end.expired(Begun + 500ms));
    for (Instant now = Begun + 500ms; now < End; now += LookEvery) {
        end.expired(now);
    }
    BOOST_TEST(end.expired(End));
}

BOOST_AUTO_TEST_CASE(over_secondStandstill_getsNoRespite)
{
    services::StopDeadline end = lookedAtUntil(Begun + 500ms);
    const Instant awake = End + 5s;
    BOOST_TEST(!end.expired(awake));
    BOOST_TEST(end.expired(awake + 10s));
}

BOOST_AUTO_TEST_SUITE_END()
