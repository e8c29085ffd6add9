// The time at which a planned stop aborts the requests that still run.

#include "services/StopDeadline.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using kernel::Instant;

namespace {

const Instant Start(10s);
const Instant Deadline = Start + 1s;
constexpr kernel::Duration PollInterval = 20ms;
constexpr kernel::Duration Extension = 200ms;

/** A stop that was polled without a stall until \a lastPoll. */
services::StopDeadline polledUntil(Instant lastPoll)
{
    services::StopDeadline stop({Start, Deadline, PollInterval, Extension});
    for (Instant now = Start; now <= lastPoll; now += PollInterval) {
        stop.expired(now);
    }
    return stop;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StopDeadlineTest)

BOOST_AUTO_TEST_CASE(expired_polledWithoutStall_atTheDeadline)
{
    services::StopDeadline stop = polledUntil(Deadline - PollInterval - 1us);
    BOOST_TEST(!stop.expired(Deadline - 1us));
    BOOST_TEST(stop.expired(Deadline));
}

BOOST_AUTO_TEST_CASE(expired_stallPastTheDeadline_afterTheExtension)
{
    services::StopDeadline stop = polledUntil(Start + 500ms);
    const Instant resumed = Deadline + 5s;
    BOOST_TEST(!stop.expired(resumed));
    BOOST_TEST(!stop.expired(resumed + PollInterval));
    BOOST_TEST(stop.expired(resumed + Extension));
}

BOOST_AUTO_TEST_CASE(expired_stallUntilShortlyBeforeTheDeadline_afterTheExtension)
{
    services::StopDeadline stop = polledUntil(Start + 500ms);
    BOOST_TEST(!stop.expired(Deadline - 10ms));
    BOOST_TEST(!stop.expired(Deadline + 10ms));
    BOOST_TEST(stop.expired(Deadline - 10ms + Extension));
}

BOOST_AUTO_TEST_CASE(expired_stallLongBeforeTheDeadline_atTheDeadline)
{
    services::StopDeadline stop = polledUntil(Start + 100ms);
    BOOST_TEST(!stop.expired(Start + 500ms));
    for (Instant now = Start + 500ms; now < Deadline; now += PollInterval) {
        stop.expired(now);
    }
    BOOST_TEST(stop.expired(Deadline));
}

BOOST_AUTO_TEST_CASE(expired_secondStall_getsNoExtension)
{
    services::StopDeadline stop = polledUntil(Start + 500ms);
    const Instant resumed = Deadline + 5s;
    BOOST_TEST(!stop.expired(resumed));
    BOOST_TEST(stop.expired(resumed + 10s));
}

BOOST_AUTO_TEST_SUITE_END()
