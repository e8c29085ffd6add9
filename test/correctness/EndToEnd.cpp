// The whole path of a request in one process: caller, router, permit from the engine's owner,
// engine, answer.

#include "support/Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using support::Fleet;
using support::Turn;

namespace {

/** One hall with two routers, four engines and two runners of the calendar service. */
struct HallFixture
{
    HallFixture()
    {
        fleet.engines("hall-a", 4).serviceRunners("hall-a", 2, "calendar").routers("hall-a", 2);
        fleet.start();
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EndToEndTest, HallFixture)

BOOST_AUTO_TEST_CASE(chat_streamed_isAnsweredCompletely)
{
    const auto answer = fleet.chat(0, Turn{.chat = "c1", .says = "when is my bin collected?"});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.text() == "[when is my bin collected?] t1 t2 t3");
    BOOST_TEST(fleet.engineRuns() == 1);
}

BOOST_AUTO_TEST_CASE(chat_notStreamed_isAnsweredCompletely)
{
    const auto answer = fleet.chat(1, Turn{.chat = "c1", .says = "hi", .stream = false});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.resultCode == "0");
    BOOST_TEST(answer.text() == "[hi] t1 t2 t3");
}

BOOST_AUTO_TEST_CASE(chat_continuedAtAnotherRouter_reachesTheSameEngine)
{
    const auto first = fleet.chat(0, Turn{.chat = "c7"});
    const auto second = fleet.chat(1, Turn{.chat = "c7"});
    BOOST_TEST(first.engine == second.engine);
    BOOST_TEST(second.route == "holder");
    BOOST_TEST(fleet.engineNamed(first.engine).prefixHits() == 1U);
}

BOOST_AUTO_TEST_CASE(chat_finished_releasesItsPermit)
{
    for (int turn = 0; turn < 8; ++turn) {
        BOOST_TEST(fleet.chat(turn % 2, Turn{.chat = "c" + std::to_string(turn)}).whole);
    }
    const auto idle = [this] {
        const auto status = nlohmann::json::parse(fleet.control(0, "GET", "/v1/status").body);
        int inFlight = status["permits"];
        for (const auto &backend : status["backends"]) {
            inFlight += backend["in_flight"].get<int>();
        }
        return inFlight == 0;
    };
    BOOST_TEST(fleet.until(idle));
}

BOOST_AUTO_TEST_CASE(service_called_isAnswered)
{
    http::Request request{"POST", "/v1/services/calendar/reminders",
                          http::Fields().with("Authorization", "Bearer key-of-the-hauler-b"),
                          "remind 7"};
    const auto answer = fleet.call(0, request);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.find("remind 7") != std::string::npos);
    BOOST_TEST(fleet.serviceRuns() == 1);
}

BOOST_AUTO_TEST_CASE(service_headRequest_isAnsweredWithoutABody)
{
    http::Request request("HEAD", "/v1/services/calendar/today",
                          http::Fields().with("Authorization", "Bearer key-of-the-hauler-b"));
    const auto answer = fleet.call(0, request);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.resultCode == "0");
    BOOST_TEST(answer.body.empty());
}

BOOST_AUTO_TEST_SUITE_END()
