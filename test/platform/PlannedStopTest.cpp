// A planned stop of a gateway, between stand-ins: what becomes of requests that come during it.

#include "gateway/GatewayServices.h"
#include "peer/DetourMessages.h"
#include "peer/Envelope.h"
#include "platform/GatewayFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using kernel::Duration;
using support::GatewayAnswer;
using support::PendingCall;

namespace {

constexpr Duration StopWithin = 60s;
constexpr Duration Slack = 2s; ///< Steps of the test may take so long.

/** A request that comes during the stop. */
struct LateRequest
{
    Duration comes; ///< After the stop has begun; rises from request to request.
    std::string target;
    Duration patience;
    bool stream = false;

    /** Whether it is sure to be over when the process ends. */
    bool fits() const { return comes + patience + Slack < StopWithin; }
};

/** A gateway whose stop takes a minute, with callers whose streams end one after the other during
 * it. The clock is moved on from request to request. */
struct LongStop : support::GatewayFixture
{
    LongStop() { moreSettings = "stop-within = 60s\nrevoke-within = 600s\n"; }

    /** Begins a stream for each request, so that they end apart and after the drain. */
    void beginStreams(std::size_t count)
    {
        constexpr Duration Apart = 300ms;
        for (std::size_t index = 0; index < count; ++index) {
            streams.push_back(begin(promptRequest("/stream/x")));
            passTime(Apart);
        }
    }

    /** Runs the loop for \a time. */
    void passTime(Duration time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        until([&] { return std::chrono::steady_clock::now() >= end; }, "the time passes");
    }

    void beginStop()
    {
        stopBegan = context().now();
        context().kernel.find<gateway::GatewayStop>("stop").begin();
    }

    /** Sends \a late on \a kept at its moment of the stop. */
    GatewayAnswer callLate(const LateRequest &late, const std::string &id,
                           http::KeptConnection::Ptr kept)
    {
        const Duration ahead = stopBegan + late.comes - context().now();
        stepForward(std::max<Duration>(ahead, 0ms));
        http::Fields fields;
        fields.add("X-Attempt-Id", id);
        fields.add("X-Deadline-Ms", std::to_string(late.patience / 1ms));
        http::Request asked = late.stream ? promptRequest(late.target, fields)
                                          : request("POST", late.target, fields);
        return finish(begin(std::move(asked), std::move(kept)));
    }

    /** Sends \a carried as another box does that reaches no server itself. */
    GatewayAnswer callForOtherBox(const http::Request &carried, Duration left)
    {
        const auto key = peer::peerKeysFrom(context().settings.peerKeys).front();
        peer::DetourRequest detour;
        detour.from = "box-2";
        detour.leftMs = static_cast<std::uint32_t>(left / 1ms);
        detour.request = carried;
        const peer::Bytes sealed = peer::seal(peer::encode(detour), key);
        http::Request request("POST", gateway::DetourPath, http::Fields().with("Host", "box"),
                              std::string(sealed.begin(), sealed.end()));
        return finish(begin(std::move(request), connectTo(peerEndpoint())));
    }

    http::KeptConnection::Ptr connectTo(const kernel::Endpoint &where)
    {
        http::KeptConnection::Ptr connection;
        boost::asio::co_spawn(
                io_,
                [&]() -> boost::asio::awaitable<void> {
                    auto connected = co_await http::KeptConnection::connect(io_, where, 10s);
                    connection = connected.value();
                },
                boost::asio::detached);
        until([&] { return connection != nullptr; }, "the connection");
        return connection;
    }

    bool reachedAServer(const std::string &id)
    {
        const auto isIt = [&id](const standin::RunnerRecord &record) { return record.id == id; };
        return std::ranges::any_of(runner(0).records(), isIt)
               || std::ranges::any_of(runner(1).records(), isIt);
    }

    std::vector<std::shared_ptr<PendingCall>> streams;
    kernel::Instant stopBegan;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlannedStopTest)

// Failure: a request on a kept connection late in a stop was passed on, and cut at the stop's end.
BOOST_FIXTURE_TEST_CASE(streamEndsAfterTheDrain_nextRequest_isServedOnlyIfOverBeforeTheEnd,
                        LongStop)
{
    const std::vector<LateRequest> requests = {
            {6s, "/once/x", 15s},   {20s, "/again/x", 15s},        {38s, "/open/x", 15s},
            {47s, "/once/x", 15s},  {48s, "/stream/x", 15s, true}, {49s, "/resume/x", 15s, true},
            {50s, "/again/x", 15s}, {51s, "/once/x", 2s},          {57s, "/open/x", 5s},
    };
    startReady();
    runner(0).pause = runner(1).pause = 1200ms;
    beginStreams(requests.size());
    beginStop();
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const LateRequest &late = requests[index];
        BOOST_TEST_CONTEXT(late.target << " at " << late.comes / 1s << " s, patience "
                                       << late.patience / 1s << " s")
        {
            const GatewayAnswer first = finish(streams[index]);
            BOOST_REQUIRE(first.whole);
            BOOST_REQUIRE(first.fields.get("Connection") == "keep-alive");
            const std::string id = "late" + std::to_string(index);
            const GatewayAnswer answer = callLate(late, id, streams[index]->connection);
            BOOST_TEST(answer.whole);
            BOOST_TEST(answer.status == (late.fits() ? 200 : 503));
            BOOST_TEST(answer.fields.get("Connection") == "close");
            BOOST_TEST(reachedAServer(id) == late.fits());
            BOOST_TEST(answer.fields.get("Retry-After") == (late.fits() ? "" : "0.05"));
        }
    }
    BOOST_TEST(context().counters.value("results", {{"kind", "refused"}, {"code", "stopping"}})
               == std::size_t(std::ranges::count_if(
                       requests, [](const LateRequest &late) { return !late.fits(); })));
}

// Failure: a stopping box took requests of other boxes that it could not finish.
BOOST_FIXTURE_TEST_CASE(otherBoxSendsAfterTheDrain_deadlineAfterTheEnd_isRefusedAsNotRun, LongStop)
{
    startReady();
    beginStop();
    stepForward(40s);
    const GatewayAnswer inTime = callForOtherBox(request("POST", "/once/x"), 15s);
    BOOST_TEST(inTime.status == 200);
    stepForward(8s);
    const http::Fields late = http::Fields().with("X-Attempt-Id", "late");
    const GatewayAnswer refused = callForOtherBox(request("POST", "/once/x", late), 15s);
    BOOST_TEST(refused.whole);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(refused.fields.get(gateway::DetourRefused) == "stopping");
    BOOST_TEST(refused.fields.get("Connection") == "close");
    BOOST_TEST(!reachedAServer("late"));
}

BOOST_AUTO_TEST_SUITE_END()
