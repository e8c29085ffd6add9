// A run of a request that fails in the box itself, by an exception: its caller is told, and what
// the run had taken is given back.

#include "gateway/FleetView.h"
#include "platform/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;

namespace {

/** A gateway with one server of one slot, whose run of a request can be made to throw. */
struct FailingRuns : support::GatewayFixture
{
    FailingRuns()
    {
        moreSettings = "admission = true\n";
        const auto readHead = adapter.dialect.readHead;
        adapter.dialect.readHead = [this, readHead](int status, const http::Fields &fields) {
            if (headFaults > 0) {
                --headFaults;
                throw std::runtime_error("a fault in the run of a request");
            }
            return readHead(status, fields);
        };
        putConfiguration(configuration(1));
        nlohmann::json entry = entryOf(runner(0), "pool");
        entry["slots"] = 1;
        entry["models"] = nlohmann::json::array({"m"});
        store().put("servers", runner(0).name(), entry);
        start();
        until([this] { return ready(); }, "readiness");
        until([this] { return world().servers().ids().size() == 1U; }, "the server is known");
    }

    gateway::FleetView &world() { return context().kernel.find<gateway::FleetView>("world"); }

    std::uint64_t failedRuns()
    {
        return context().counters.value("caller_connections_ended",
                                        {{"reason", "run-failed"}, {"unread", "nothing"}});
    }

    std::uint64_t places(const std::string &result)
    {
        return context().counters.value("places", {{"result", result}});
    }

    static http::Request promptCall()
    {
        return request("POST", "/once/x", http::Fields().with("X-Prompt-Prefix", "aa:100"));
    }

    int headFaults = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunFaultTest, FailingRuns)

// Failure: the connection was closed with nothing said, as though the request had been lost.
BOOST_AUTO_TEST_CASE(run_throwsBeforeItsAnswerBegan_callerIsToldThatItMayHaveRun)
{
    headFaults = 1;
    const support::GatewayAnswer answer = call(promptCall());
    BOOST_TEST(answer.answered);
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.status == 504);
    BOOST_TEST(answer.fields.get("X-Attempt-Id") == "a1");
    BOOST_TEST(answer.body.find("internal error") != std::string::npos);
    until([this] { return failedRuns() == 1U; }, "the end is told");
}

// Failure: the server counted as having a request of this box until it left the list.
BOOST_AUTO_TEST_CASE(run_throws_serversCountIsGivenBack)
{
    headFaults = 1;
    call(promptCall());
    until([this] { return headFaults == 0; }, "the fault");
    BOOST_TEST(world().servers().ownLoad("pool") == 0U);
}

// Failure: the place stayed taken, and later requests waited for it.
BOOST_AUTO_TEST_CASE(run_throws_placeIsGivenBack)
{
    constexpr int Runs = 4;
    headFaults = Runs;
    for (int i = 0; i <= Runs; ++i) {
        world().shortServices().noteShort("pool", context().now());
        const int status = call(promptCall()).status;
        const int expected = i < Runs ? 504 : 200;
        BOOST_TEST(status == expected);
    }
    BOOST_TEST(places("granted") == Runs + 1U);
    BOOST_TEST(places("queued") == 0U);
}

BOOST_AUTO_TEST_CASE(run_throws_itsRequestRunsNoLonger)
{
    runner(0).pause = 50ms;
    headFaults = 1;
    call(promptRequest("/resume/x"));
    until([this] { return runner(0).left() == 1; }, "the server sees that it is left");
}

BOOST_AUTO_TEST_SUITE_END()
