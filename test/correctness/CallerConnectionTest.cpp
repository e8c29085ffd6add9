// A caller's connection that was closed with a whole request on it and no answer.
//
// Seen: beside a change of the configuration, on a box with an eighth of a core, a caller sent a
// whole request; 676 ms later the connection was closed. No line of the log told of it.
// How it came about: the event loop stood still, over a large configuration, past the limit of a
// resting connection. A request came meanwhile. The run before had watched its caller's socket, and
// that wait ended first, so the request was read and its handler queued behind the limit's timer,
// which closed the connection. (With work queued ahead of the timer it is lost unread as well.)
// Cause: a time limit acted on what the loop had handled by then, not on what had arrived.
// Proof: this order is brought about here without any chance, and the request is lost each time,
// also on the sources of the day; without the wait left behind none is.
// The 676 ms: such a box stood still for up to 0.7 s over a configuration of 4,450 routes, whose
// way to the store's acknowledgement takes as long as the one seen. Sources of the day lose
// requests so.

#include "http/Server.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <poll.h>

using namespace limereel;
namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view WholeRequest = "GET /x HTTP/1.1\r\nHost: calls.example\r\n\r\n";
constexpr kernel::Duration ShortLimit = 30ms;
constexpr kernel::Duration LongLimit = 60s;

/** A server on the test's own event loop, and callers with blocking sockets beside it. */
struct ServerFixture
{
    ServerFixture()
    {
        limits.idleTimeout = LongLimit;
        limits.headTimeout = LongLimit;
        limits.restInDrain = LongLimit;
    }

    void start()
    {
        server.emplace(io, limits,
                       [this](http::Request request, http::Reply &reply) -> asio::awaitable<void> {
                           return handle(std::move(request), reply);
                       });
        server->onConnectionEnd([this](const http::ConnectionEnd &end) { ends.push_back(end); });
        server->listen({"127.0.0.1", 0});
    }

    asio::awaitable<void> handle(http::Request request, http::Reply &reply)
    {
        ++handled;
        whenHandled();
        if (throws) {
            throw std::runtime_error("a fault in the run of a request");
        }
        if (streams) {
            co_await stream(reply);
            co_return;
        }
        if (watchesCallers) {
            reply.watchClient([this] { ++leftCallers; });
        }
        http::Answer answer(200, {}, request.body);
        co_await reply.send(std::move(answer));
    }

    asio::awaitable<void> stream(http::Reply &reply)
    {
        co_await reply.begin(200, {});
        co_await reply.write("begun");
        if (throwsLate) {
            throw std::runtime_error("a fault in the run of a request");
        }
        while (!mayFinish) {
            co_await asio::post(io, asio::use_awaitable);
        }
        co_await reply.finish();
    }

    tcp::socket connect()
    {
        tcp::socket caller(io);
        caller.connect({asio::ip::address_v4::loopback(), server->port()});
        // The second half of a request must not wait until the first one is acknowledged.
        caller.set_option(tcp::no_delay(true));
        return caller;
    }

    static void send(tcp::socket &caller, std::string_view bytes)
    {
        asio::write(caller, asio::buffer(bytes.data(), bytes.size()));
    }

    /** A connection on which a request was answered, and that rests now. */
    tcp::socket restingCaller()
    {
        tcp::socket caller = connect();
        send(caller, WholeRequest);
        const std::size_t before = handled;
        until([&] { return handled > before && !answerOn(caller).empty(); });
        return caller;
    }

    /** A connection whose stream began before a drain, promised to keep it, and has ended since. */
    tcp::socket streamThatEndsInADrain()
    {
        streams = true;
        tcp::socket caller = connect();
        send(caller, WholeRequest);
        std::string got = nextOn(caller);
        BOOST_TEST(got.find("Connection: keep-alive") != std::string::npos);
        server->drain();
        mayFinish = true;
        while (got.find("0\r\n\r\n") == std::string::npos) {
            got += nextOn(caller);
        }
        return caller;
    }

    /** What the server has sent on \a caller and wasn't read yet; "closed" at its end. */
    static std::string answerOn(tcp::socket &caller)
    {
        pollfd look{caller.native_handle(), POLLIN, 0};
        if (::poll(&look, 1, 0) == 0) {
            return {};
        }
        std::array<char, 4096> bytes{};
        boost::system::error_code error;
        const std::size_t count = caller.read_some(asio::buffer(bytes), error);
        return error ? "closed" : std::string(bytes.data(), count);
    }

    /** Runs the loop until \a condition holds. */
    void until(const std::function<bool()> &condition)
    {
        const auto giveUp = Clock::now() + 30s;
        while (!condition()) {
            BOOST_REQUIRE(Clock::now() < giveUp);
            io.run_for(1ms);
            io.restart();
        }
    }

    /** Runs the loop until \a caller has got something; \return it. */
    std::string nextOn(tcp::socket &caller)
    {
        std::string got;
        until([&] {
            got = answerOn(caller);
            return !got.empty();
        });
        return got;
    }

    /** Runs the loop until the steady clock is past \a when. */
    void runPast(Clock::time_point when)
    {
        until([&] { return Clock::now() > when; });
    }

    /**
     * Holds the loop up until the steady clock is past \a when; then the limits that have run out
     * are found, and \a work runs ahead of their timers.
     */
    void standStillPast(Clock::time_point when, const std::function<void()> &work)
    {
        asio::post(io, [this, when, work] {
            while (Clock::now() <= when) {
            }
            // Queued behind the next question to the operating system, ahead of what that brings.
            asio::post(io, work);
        });
    }

    asio::io_context io{1};
    http::ServerLimits limits;
    std::optional<http::Server> server;
    std::size_t handled = 0;
    bool watchesCallers = false; ///< As the runs of requests do.
    std::size_t leftCallers = 0;
    bool throws = false;
    bool throwsLate = false; ///< After a stream's answer has begun.
    bool streams = false;
    bool mayFinish = false;
    std::function<void()> whenHandled = [] {};
    std::vector<http::ConnectionEnd> ends;
};

bool good(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerConnectionTest, ServerFixture)

BOOST_AUTO_TEST_CASE(restingConnection_requestArrivesWhileTheLoopStandsStill_isAnswered)
{
    limits.idleTimeout = ShortLimit;
    start();
    tcp::socket caller = restingCaller();
    standStillPast(Clock::now() + ShortLimit, [&] { send(caller, WholeRequest); });
    BOOST_TEST(good(nextOn(caller)));
}

BOOST_AUTO_TEST_CASE(restingConnection_requestIsReadButNotHandledWhenTheLimitRunsOut_isAnswered)
{
    limits.idleTimeout = ShortLimit;
    watchesCallers = true;
    start();
    tcp::socket caller = restingCaller();
    const auto limit = Clock::now() + ShortLimit;
    asio::post(io, [&] {
        send(caller, WholeRequest);
        while (Clock::now() <= limit) {
        }
    });
    BOOST_TEST(good(nextOn(caller)));
    BOOST_TEST(leftCallers == 0U);
}

BOOST_AUTO_TEST_CASE(restingConnection_nothingIsSent_isClosedAtItsLimit)
{
    limits.idleTimeout = ShortLimit;
    start();
    tcp::socket caller = restingCaller();
    BOOST_TEST(nextOn(caller) == "closed");
    until([&] { return !ends.empty(); });
    BOOST_TEST((ends.front().reason == http::EndReason::RestLimit));
    BOOST_TEST((ends.front().unread == http::Arrived::Nothing));
    BOOST_TEST(ends.front().requests == 1U);
}

BOOST_AUTO_TEST_CASE(halfARequest_itsRestArrivesWhileTheLoopStandsStill_isAnswered)
{
    limits.headTimeout = ShortLimit;
    start();
    tcp::socket caller = restingCaller();
    const std::string_view half = WholeRequest.substr(0, WholeRequest.size() / 2);
    send(caller, half);
    // The limit for the rest begins when the first half is read.
    io.poll();
    io.restart();
    standStillPast(Clock::now() + ShortLimit,
                   [&] { send(caller, WholeRequest.substr(half.size())); });
    BOOST_TEST(good(nextOn(caller)));
}

BOOST_AUTO_TEST_CASE(halfARequest_itsRestNeverComes_isClosedAtItsLimit)
{
    limits.headTimeout = ShortLimit;
    start();
    tcp::socket caller = restingCaller();
    send(caller, WholeRequest.substr(0, WholeRequest.size() / 2));
    BOOST_TEST(nextOn(caller) == "closed");
    until([&] { return !ends.empty(); });
    BOOST_TEST((ends.front().reason == http::EndReason::HeadLimit));
}

// The limit runs out with a part of the request read and not handled. The rest comes before its
// last look, and is read by the handler of that part: nothing lies in the socket then.
BOOST_AUTO_TEST_CASE(halfARequest_itsRestIsReadRightBeforeTheLastLook_isAnsweredOrNeverRun)
{
    constexpr std::size_t FirstRead = 4096; // Of the connection's buffer.
    const std::string part(FirstRead + 200, 'x');
    const std::string rest(100, 'y');
    limits.headTimeout = ShortLimit;
    start();
    tcp::socket caller = restingCaller();
    send(caller, "POST /x HTTP/1.1\r\nHost: calls.example\r\nContent-Length: "
                         + std::to_string(part.size() + rest.size()) + "\r\n\r\n");
    // The limit begins when the head is read.
    io.poll();
    io.restart();
    const auto limit = Clock::now() + ShortLimit;
    // Handled right behind the limit's timer, and ahead of what its pass reads.
    asio::steady_timer behindTheLimit(io, limit);
    behindTheLimit.async_wait([&](boost::system::error_code) { send(caller, rest); });
    asio::post(io, [&] {
        send(caller, part);
        while (Clock::now() <= limit) {
        }
    });
    const std::string answer = nextOn(caller);
    const std::size_t runs = good(answer) ? 2 : 1;
    runPast(Clock::now() + ShortLimit);
    BOOST_TEST(handled == runs);
}

BOOST_AUTO_TEST_CASE(manyRestingConnections_allSendWhileTheLoopStandsStill_allAreAnswered)
{
    // More than the operating system tells of at once, so that some of the requests are found only
    // after the limits have run out.
    constexpr std::size_t Callers = 300;
    limits.idleTimeout = 300ms;
    start();
    std::vector<tcp::socket> callers;
    for (std::size_t i = 0; i < Callers; ++i) {
        callers.push_back(connect());
        send(callers.back(), WholeRequest);
    }
    until([&] { return handled == Callers; });
    for (tcp::socket &caller : callers) {
        BOOST_REQUIRE(good(nextOn(caller)));
    }
    bool sent = false;
    standStillPast(Clock::now() + limits.idleTimeout, [&] {
        for (tcp::socket &caller : callers) {
            send(caller, WholeRequest);
        }
        sent = true;
    });
    until([&] { return sent; });
    std::size_t lost = 0;
    for (tcp::socket &caller : callers) {
        lost += good(nextOn(caller)) ? 0 : 1;
    }
    BOOST_TEST(lost == 0U);
}

BOOST_AUTO_TEST_CASE(drainingServer_requestWaitsUnread_isAnsweredAndTheConnectionClosed)
{
    start();
    tcp::socket caller = restingCaller();
    send(caller, WholeRequest);
    server->drain();
    BOOST_TEST(server->active() == 1U);
    const std::string answer = nextOn(caller);
    BOOST_TEST(good(answer));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(drainingServer_connectionIsNotTakenYet_itsRequestIsAnswered)
{
    start();
    tcp::socket caller = connect();
    send(caller, WholeRequest);
    server->drain();
    BOOST_TEST(server->active() == 1U);
    BOOST_TEST(good(nextOn(caller)));
}

BOOST_AUTO_TEST_CASE(drainingServer_nothingWaits_connectionIsClosed)
{
    start();
    tcp::socket caller = restingCaller();
    server->drain();
    BOOST_TEST(server->active() == 0U);
    BOOST_TEST(nextOn(caller) == "closed");
    until([&] { return !ends.empty(); });
    BOOST_TEST((ends.front().reason == http::EndReason::Draining));
}

BOOST_AUTO_TEST_CASE(leavingServer_answerHadPromisedToKeepTheConnection_nextRequestIsAnswered)
{
    start();
    tcp::socket caller = connect();
    // The server begins to leave while the answer's head is already on its way.
    whenHandled = [this] { asio::post(io, [this] { server->closeAfterAnswers(); }); };
    send(caller, WholeRequest);
    const std::string first = nextOn(caller);
    BOOST_TEST(first.find("Connection: close") == std::string::npos);
    send(caller, WholeRequest);
    const std::string second = nextOn(caller);
    BOOST_TEST(good(second));
    BOOST_TEST(second.find("Connection: close") != std::string::npos);
}

// The head of a stream that began before the stop can't be taken back.
BOOST_AUTO_TEST_CASE(drainingServer_streamHadPromisedToKeepTheConnection_nextRequestIsAnswered)
{
    start();
    tcp::socket caller = streamThatEndsInADrain();
    send(caller, WholeRequest);
    std::string answer = nextOn(caller);
    BOOST_TEST(good(answer));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    until([&] { return answerOn(caller) == "closed"; });
    BOOST_TEST(server->active() == 0U);
}

BOOST_AUTO_TEST_CASE(drainingServer_streamHadPromisedToKeepTheConnection_stopWaits)
{
    start();
    tcp::socket caller = streamThatEndsInADrain();
    BOOST_TEST(server->active() == 1U);
}

BOOST_AUTO_TEST_CASE(drainingServer_streamHadPromisedAndNothingComes_connectionIsClosed)
{
    limits.restInDrain = ShortLimit;
    start();
    tcp::socket caller = streamThatEndsInADrain();
    BOOST_TEST(nextOn(caller) == "closed");
    until([&] { return server->active() == 0U; });
    BOOST_REQUIRE(ends.size() == 1U);
    BOOST_TEST((ends.front().reason == http::EndReason::Draining));
}

BOOST_AUTO_TEST_CASE(answer_connectionStaysOpen_tellsHowLongItMayRest)
{
    limits.idleTimeout = 15s;
    start();
    tcp::socket caller = connect();
    send(caller, WholeRequest);
    const std::string answer = nextOn(caller);
    BOOST_TEST(answer.find("Keep-Alive: timeout=12\r\n") != std::string::npos);
    BOOST_TEST(answer.find("Connection: keep-alive\r\n") != std::string::npos);
    limits.idleTimeout = 1s;
    server->setLimits(limits);
    send(caller, WholeRequest);
    BOOST_TEST(nextOn(caller).find("Keep-Alive:") == std::string::npos);
    server->closeAfterAnswers();
    send(caller, WholeRequest);
    BOOST_TEST(nextOn(caller).find("Keep-Alive:") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(restLimitRaised_connectionThatRests_goesByTheNewOne)
{
    limits.idleTimeout = ShortLimit;
    start();
    tcp::socket caller = restingCaller();
    const auto rests = Clock::now();
    limits.idleTimeout = LongLimit;
    server->setLimits(limits);
    runPast(rests + 2 * ShortLimit);
    send(caller, WholeRequest);
    BOOST_TEST(good(nextOn(caller)));
}

BOOST_AUTO_TEST_CASE(restLimitLowered_callersMayNotKnowYet_connectionMayRestAsBefore)
{
    limits.idleTimeout = LongLimit;
    limits.idleNotice = LongLimit;
    start();
    tcp::socket rested = restingCaller();
    limits.idleTimeout = ShortLimit;
    server->setLimits(limits);
    tcp::socket restsAfterwards = restingCaller();
    runPast(Clock::now() + 2 * ShortLimit);
    send(rested, WholeRequest);
    BOOST_TEST(good(nextOn(rested)));
    send(restsAfterwards, WholeRequest);
    BOOST_TEST(good(nextOn(restsAfterwards)));
}

BOOST_AUTO_TEST_CASE(restLimitLowered_noticeIsOver_connectionGoesByTheNewOne)
{
    limits.idleTimeout = LongLimit;
    limits.idleNotice = 0s;
    start();
    limits.idleTimeout = ShortLimit;
    server->setLimits(limits);
    tcp::socket caller = restingCaller();
    BOOST_TEST(nextOn(caller) == "closed");
}

BOOST_AUTO_TEST_CASE(sizeLimitRaised_connectionThatRests_takesTheLargerRequest)
{
    limits.headBytes = 4096;
    limits.bodyBytes = 1000;
    start();
    tcp::socket caller = restingCaller();
    limits.bodyBytes = 100000;
    server->setLimits(limits);
    const std::string body(50000, 'x');
    send(caller, "POST /x HTTP/1.1\r\nHost: calls.example\r\nContent-Length: 50000\r\n\r\n" + body);
    BOOST_TEST(good(nextOn(caller)));
}

BOOST_AUTO_TEST_CASE(headLimitRaised_connectionThatRests_takesTheLargerHead)
{
    limits.headBytes = 2048;
    limits.bodyBytes = 1024;
    start();
    tcp::socket caller = restingCaller();
    limits.headBytes = 32768;
    server->setLimits(limits);
    send(caller, "GET /x HTTP/1.1\r\nHost: calls.example\r\nX-Long: " + std::string(20000, 'x')
                         + "\r\n\r\n");
    BOOST_TEST(good(nextOn(caller)));
}

// The parser can't hold a field of 64 KiB, and says so by an exception in a handler of the loop.
BOOST_AUTO_TEST_CASE(largeHeadLimit_fieldIsLongerThanTheParserHolds_isRefusedAndTheServerGoesOn)
{
    limits.headBytes = 131072;
    start();
    tcp::socket caller = connect();
    send(caller, "GET /x HTTP/1.1\r\nHost: calls.example\r\nX-Long: " + std::string(70000, 'x')
                         + "\r\n\r\n");
    BOOST_TEST(nextOn(caller).starts_with("HTTP/1.1 4"));
    tcp::socket other = connect();
    send(other, WholeRequest);
    BOOST_TEST(good(nextOn(other)));
}

BOOST_AUTO_TEST_CASE(smallSizeLimits_requestWithinThem_isAnswered)
{
    limits.headBytes = 1000;
    limits.bodyBytes = 1000;
    start();
    tcp::socket caller = connect();
    send(caller, WholeRequest);
    BOOST_TEST(good(nextOn(caller)));
    server->setLimits(limits);
    send(caller, WholeRequest);
    BOOST_TEST(good(nextOn(caller)));
}

BOOST_AUTO_TEST_CASE(restLimitLoweredDuringAStream_connectionRestsAsLongAsItsHeadTold)
{
    streams = true;
    limits.idleTimeout = 15s;
    start();
    tcp::socket caller = connect();
    send(caller, WholeRequest);
    std::string got = nextOn(caller);
    BOOST_TEST(got.find("Keep-Alive: timeout=12") != std::string::npos);
    limits.idleTimeout = ShortLimit;
    server->setLimits(limits);
    mayFinish = true;
    while (got.find("0\r\n\r\n") == std::string::npos) {
        got += nextOn(caller);
    }
    runPast(Clock::now() + 2 * ShortLimit);
    send(caller, WholeRequest);
    BOOST_TEST(good(nextOn(caller)));
}

BOOST_AUTO_TEST_CASE(restLimitLowered_moreConfigurationsComeWithinTheNotice_countsInTheEnd)
{
    limits.idleTimeout = LongLimit;
    limits.idleNotice = 2 * ShortLimit;
    start();
    limits.idleTimeout = ShortLimit;
    const auto known = Clock::now() + 2 * limits.idleNotice;
    until([&] {
        server->setLimits(limits);
        return Clock::now() > known;
    });
    tcp::socket caller = connect();
    until([&] {
        server->setLimits(limits);
        return answerOn(caller) == "closed";
    });
}

BOOST_AUTO_TEST_CASE(restLimitLoweredAgainAndAgain_noticeOfTheFirstIsOver_longLimitIsForgotten)
{
    limits.idleTimeout = LongLimit;
    limits.idleNotice = 2 * ShortLimit;
    start();
    const auto known = Clock::now() + 2 * limits.idleNotice;
    bool shorter = false;
    const auto configure = [&] {
        shorter = !shorter;
        limits.idleTimeout = shorter ? ShortLimit : ShortLimit + 1ms;
        server->setLimits(limits);
    };
    until([&] {
        configure();
        return Clock::now() > known;
    });
    tcp::socket caller = connect();
    until([&] {
        configure();
        return answerOn(caller) == "closed";
    });
}

BOOST_AUTO_TEST_CASE(drainingServer_requestArrivesBeforeTheCancelledReadIsHandled_isAnswered)
{
    start();
    tcp::socket caller = restingCaller();
    io.poll();
    io.restart();
    asio::post(io, [&] {
        server->drain();
        send(caller, WholeRequest);
    });
    BOOST_TEST(good(nextOn(caller)));
}

// The connection was closed with nothing said.
BOOST_AUTO_TEST_CASE(run_throws_callerAndEndAreToldAndNothingStaysActive)
{
    throws = true;
    start();
    tcp::socket caller = connect();
    send(caller, WholeRequest);
    const std::string answer = nextOn(caller);
    BOOST_TEST(answer.starts_with("HTTP/1.1 500"));
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(nextOn(caller) == "closed");
    BOOST_REQUIRE(ends.size() == 1U);
    BOOST_TEST((ends.front().reason == http::EndReason::RunFailed));
    BOOST_TEST(ends.front().fault == "a fault in the run of a request");
    BOOST_TEST(server->active() == 0U);
}

// Nothing may follow what the caller has: it would look like a part of the answer.
BOOST_AUTO_TEST_CASE(run_throwsAfterItsAnswerBegan_answerIsCut)
{
    streams = throwsLate = true;
    start();
    tcp::socket caller = connect();
    send(caller, WholeRequest);
    std::string got;
    std::string more;
    while (more != "closed") {
        got += more;
        more = nextOn(caller);
    }
    BOOST_TEST(good(got));
    BOOST_TEST(got.ends_with("5\r\nbegun\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()
