// A sound server that sends nothing for a while: attempts at it are given up only where another one
// is sure to follow.

#include "gateway/FleetView.h"
#include "platform/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using kernel::Duration;
using support::PendingCall;

namespace {

constexpr std::size_t Streams = 40;
const std::string AllEvents =
        "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
        "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n";

/** A gateway whose servers fall silent after the first event of each stream. */
struct SilentServers : support::GatewayFixture
{
    /** Starts with the first \a count servers, which are engines. */
    void startWith(std::size_t count)
    {
        putConfiguration(configuration(1));
        for (std::size_t index = 0; index < count; ++index) {
            nlohmann::json entry = entryOf(runner(index), "pool");
            entry["models"] = nlohmann::json::array({"m"});
            store().put("servers", runner(index).name(), entry);
        }
        start();
        const auto known = [this, count] {
            return context().kernel.find<gateway::FleetView>("world").servers().ids().size()
                   == count;
        };
        until([this] { return ready(); }, "readiness");
        until(known, "the servers are known");
    }

    /** Begins so many streams; both servers send nothing for \a silence after the first event. */
    void beginStreams(std::size_t count, Duration silence)
    {
        runner(0).pause = runner(1).pause = silence;
        for (std::size_t index = 0; index < count; ++index) {
            const std::string id = "s" + std::to_string(index);
            streams.push_back(
                    begin(promptRequest("/resume/x", http::Fields().with("X-Attempt-Id", id))));
        }
        until([this] { return std::ranges::all_of(streams, &hasEvent); }, "the first events");
        runner(0).pause = runner(1).pause = 0ms;
    }

    static bool hasEvent(const std::shared_ptr<PendingCall> &stream)
    {
        return stream->answer.body.find("\n\n") != std::string::npos;
    }

    std::size_t wholeStreams()
    {
        std::size_t whole = 0;
        for (const auto &stream : streams) {
            const support::GatewayAnswer answer = finish(stream);
            whole += answer.whole && answer.body == AllEvents ? 1 : 0;
        }
        return whole;
    }

    std::vector<std::shared_ptr<PendingCall>> streams;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SilentServerTest, SilentServers)

// Failure: streams at a server that was silent for a while were given up before it was known
// whether the retry budget let them go on, and were cut where it didn't.
BOOST_AUTO_TEST_CASE(serverSilent_retryBudgetSpent_streamsAreWaitedFor)
{
    for (const Duration silence : {Duration(900ms), Duration(1300ms), Duration(2s), Duration(4s)}) {
        SilentServers fixture;
        fixture.retrySlack = 0;
        fixture.moreSettings = "retry-ratio = 0\n";
        fixture.startWith(2);
        fixture.beginStreams(Streams, silence);
        BOOST_TEST(fixture.wholeStreams() == Streams);
        BOOST_TEST(fixture.runs() == Streams);
    }
}

BOOST_AUTO_TEST_CASE(serverSilent_noOtherServer_streamIsWaitedFor)
{
    startWith(1);
    beginStreams(1, 2s);
    BOOST_TEST(wholeStreams() == 1U);
    BOOST_TEST(runs() == 1U);
}

// Failure: a stream was given up for another server though its key ran nothing any more.
BOOST_AUTO_TEST_CASE(serverSilent_keyWasTakenAway_streamIsWaitedFor)
{
    startWith(2);
    // The pauses are borne until the key is known to be gone.
    for (standin::RunnerStandin *server : {&runner(0), &runner(1)}) {
        server->events = 100;
        server->pause = 100ms;
    }
    const auto stream = begin(promptRequest("/resume/x"));
    until([&] { return hasEvent(stream); }, "the first event");
    nlohmann::json next = configuration(2);
    next["tenants"][0]["api_keys"] = nlohmann::json::array({"key-two"});
    putConfiguration(next);
    const auto &world = context().kernel.find<gateway::FleetView>("world");
    until([&] { return world.snapshot()->version() == 2; }, "the next configuration");
    used().pause = 3s;
    const kernel::Counters &counters = context().counters;
    const auto noticed = [&counters] {
        return counters.total("silent_attempts_kept") + counters.total("attempt_failures") > 0;
    };
    until(noticed, "the silence is noticed");
    used().pause = 0ms;
    BOOST_TEST(finish(stream).whole);
    BOOST_TEST(runs() == 1U);
}

BOOST_AUTO_TEST_CASE(serverSilent_otherServerAndBudget_streamGoesOnThere)
{
    startWith(2);
    beginStreams(1, 10s);
    BOOST_TEST(wholeStreams() == 1U);
    BOOST_TEST(runs() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
