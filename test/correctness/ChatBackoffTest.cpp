// Tests the project's own interfaces with backend servers that turn requests away and ask for
// back-off (503 with Retry-After). Guards against requests that are sent to a server during it.

#include "support/Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using support::Fleet;
using support::Turn;

namespace {

constexpr int ManyRefusals = 1000;

struct BackoffFixture
{
    BackoffFixture()
    {
        fleet.engines("hall-a", 2).serviceRunners("hall-a", 2, "calendar").routers("hall-a", 1);
        fleet.start();
    }

    support::CallerAnswer chat(int number)
    {
        return fleet.chat(0, Turn{.chat = "c" + std::to_string(number)});
    }

    support::CallerAnswer call()
    {
        return fleet.call(0, http::Request("GET", "/v1/services/calendar/day",
                                           http::Fields().with("Authorization",
                                                               "Bearer key-of-the-hauler-a")));
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChatBackoffTest, BackoffFixture)

BOOST_AUTO_TEST_CASE(engine_asksForBackoff_getsNoMoreRequests)
{
    fleet.engine(0).faults.refuseFull = ManyRefusals;
    fleet.engine(0).faults.restAsked = "300";
    for (int number = 0; number < 40; ++number) {
        BOOST_TEST(chat(number).whole);
    }
    BOOST_TEST(fleet.engine(0).faults.refuseFull == ManyRefusals - 1);
}

BOOST_AUTO_TEST_CASE(allEngines_askForBackoff_chatIsRefusedAtOnceWithRetryAfter)
{
    for (std::size_t index = 0; index < 2; ++index) {
        fleet.engine(index).faults.refuseFull = ManyRefusals;
        fleet.engine(index).faults.restAsked = "300";
    }
    chat(0);
    const auto answer = chat(1);
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(answer.resultCode == "214");
    BOOST_TEST(answer.ran == "not-run");
    BOOST_TEST(!answer.retryAfter.empty());
    BOOST_TEST(fleet.engine(0).faults.refuseFull == ManyRefusals - 1);
    BOOST_TEST(fleet.engine(1).faults.refuseFull == ManyRefusals - 1);
}

BOOST_AUTO_TEST_CASE(engine_restartsDuringItsBackoff_getsRequests)
{
    for (std::size_t index = 0; index < 2; ++index) {
        fleet.engine(index).faults.refuseFull = 1;
        fleet.engine(index).faults.restAsked = "300";
    }
    chat(0);
    BOOST_TEST(chat(1).status == 503);
    fleet.engine(0).restart();
    BOOST_TEST(fleet.until([this] { return chat(2).whole; }));
}

BOOST_AUTO_TEST_CASE(runner_asksForBackoff_getsNoMoreRequests)
{
    fleet.service(0).faults.refuse = ManyRefusals;
    fleet.service(0).faults.restAsked = "300";
    for (int number = 0; number < 40; ++number) {
        BOOST_TEST(call().status == 200);
    }
    BOOST_TEST(fleet.service(0).faults.refuse == ManyRefusals - 1);
}

BOOST_AUTO_TEST_CASE(allRunners_askForBackoff_callIsRefusedAndNotRun)
{
    for (std::size_t index = 0; index < 2; ++index) {
        fleet.service(index).faults.refuse = ManyRefusals;
        fleet.service(index).faults.restAsked = "300";
    }
    call();
    const auto answer = call();
    BOOST_TEST(answer.resultCode == "214");
    BOOST_TEST(answer.ran == "not-run");
    BOOST_TEST(fleet.service(0).faults.refuse == ManyRefusals - 1);
    BOOST_TEST(fleet.service(1).faults.refuse == ManyRefusals - 1);
}

BOOST_AUTO_TEST_SUITE_END()
