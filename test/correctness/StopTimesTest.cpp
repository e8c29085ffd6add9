// Which requests a box begins while a planned stop goes on, against a plain reference.

#include "services/StopTimes.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using kernel::Duration;
using kernel::Instant;
using services::StopTimes;

namespace {

const Instant Begin(100s);
constexpr Duration Drain = 2500ms;
constexpr Duration End = 7800ms;
const StopTimes Stop{Begin + Drain, Begin + End};

} // namespace

BOOST_AUTO_TEST_SUITE(StopTimesTest)

// Failure: what came late in a stop was passed on with more time than the process had, and cut.
BOOST_AUTO_TEST_CASE(mayBegin_eachTenthOfTheStop_onlyWhatIsOverBeforeTheEnd)
{
    std::size_t cases = 0;
    for (Duration came = 0ms; came <= End; came += 100ms) {
        for (Duration patience = 0ms; patience <= 20s; patience += 100ms) {
            const bool begun = Stop.mayBegin(Begin + came, Begin + came + patience);
            const bool listedByBalancer = came < Drain;
            const bool overBeforeEnd = came + patience < End;
            BOOST_REQUIRE_MESSAGE(begun == (listedByBalancer || overBeforeEnd),
                                  came / 1ms << " ms into the stop, patience " << patience / 1ms
                                             << " ms: begun " << begun);
            ++cases;
        }
    }
    BOOST_TEST(cases == 79U * 201U);
}

BOOST_AUTO_TEST_CASE(mayBegin_deadlineRightBeforeTheEnd_finalAnswerHasNoTime)
{
    BOOST_TEST(!Stop.mayBegin(Begin + Drain, Begin + End - 1ms));
    BOOST_TEST(Stop.mayBegin(Begin + Drain, Begin + End - 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
