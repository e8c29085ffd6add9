// The client's time limits against an event loop that stood still.
//
// Found by reading the sources and reproduced here, not in a record of a fleet:
// calls that were reported as timed out although the server had answered them in time. A box
// that had stood still took its backend servers and its platform for gone.
// How it came about: the loop was held up by something else past the end of a call's limit, and the
// answer came meanwhile. Each pass of the loop takes a bounded number of events from the system;
// with many others between the two, the end of the limit was handled before the answer was read.
// Cause: the limit closed the connection without a look at what had come on it.
// The tests make just that state within one handler of the loop, see support/Crowd.h.

#include "http/Client.h"
#include "http/SocketState.h"
#include "support/Crowd.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <future>
#include <linux/sockios.h>
#include <memory>
#include <optional>
#include <poll.h>
#include <sys/ioctl.h>
#include <thread>
#include <vector>

using namespace limereel;
using boost::asio::ip::tcp;
using kernel::Duration;

namespace {

namespace asio = boost::asio;

constexpr Duration FirstLimit = 100ms; ///< Doubled until the state could be made within it.
constexpr Duration LongLimit = 60s;    ///< Of the waits that a test isn't about.
constexpr int Rounds = 20;
constexpr int ConnectRounds = 3; ///< Each takes a second.
/// A client's system tries again one, three and seven seconds after its first try.
constexpr std::chrono::seconds TriesAgainWithin = 10s;

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
const std::string Body = "done";

/** A server on blocking sockets; its steps run in a thread of their own. */
class Peer
{
public:
    Peer()
        : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , socket_(io_)
    {
    }

    kernel::Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    void takeRequest()
    {
        acceptor_.accept(socket_);
        asio::read_until(socket_, asio::dynamic_buffer(request_), "\r\n\r\n");
    }

    /** Whether the client has closed the connection, whose request has been taken. */
    bool clientGone() { return http::arrivedAt(socket_.native_handle()) != http::Arrived::Nothing; }

    /** Sends \a bytes and waits until the other side's system has them, or the client is gone. */
    void send(const std::string &bytes)
    {
        asio::write(socket_, asio::buffer(bytes));
        int unacknowledged = 1;
        while (unacknowledged > 0 && !clientGone()
               && ::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0) {
            std::this_thread::yield();
        }
    }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
    tcp::socket socket_;
    std::string request_;
};

/** A listener whose queue is full, so that the next connection comes about only once there is room
 * and the client's system has tried again, a second later. */
class BusyListener
{
public:
    BusyListener()
        : acceptor_(io_)
        , first_(io_)
    {
        const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
        acceptor_.open(any.protocol());
        acceptor_.bind(any);
        acceptor_.listen(0);
        first_.connect(acceptor_.local_endpoint());
    }

    kernel::Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    /** Makes room; \return the server's end of the connection that comes about then. Nothing if
     * none does: its client had given up before. */
    std::optional<tcp::socket> acceptLate()
    {
        acceptor_.accept();
        pollfd next{acceptor_.native_handle(), POLLIN, 0};
        const int ready = ::poll(&next, 1, static_cast<int>(TriesAgainWithin / 1ms));
        return ready > 0 ? std::optional(acceptor_.accept()) : std::nullopt;
    }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
    tcp::socket first_;
};

using Result = tl::expected<http::Answer, http::CallFailure>;

/** What a test lets happen while the loop stands still, and which limit runs out then. */
struct Stage
{
    std::string before; ///< What the server sends ahead of the standstill.
    std::string during; ///< What it sends while the loop stands still.
    Duration http::CallTimeouts::*limit = nullptr;
};

http::CallTimeouts timeoutsWith(Duration http::CallTimeouts::*which, Duration limit)
{
    http::CallTimeouts timeouts{LongLimit, LongLimit, LongLimit};
    timeouts.*which = limit;
    return timeouts;
}

/** A call; \a opened runs once the answer's head is read, before its body is waited for. */
asio::awaitable<Result> callWith(asio::io_context &io, kernel::Endpoint where,
                                 http::CallTimeouts timeouts, std::function<void()> opened)
{
    http::Request request{"GET", "/", {}, {}};
    auto stream = co_await http::Stream::open(io, where, std::move(request), timeouts);
    if (!stream) {
        co_return tl::unexpected(stream.error());
    }
    opened();
    http::Answer answer(stream->status());
    while (true) {
        auto part = co_await stream->read();
        if (!part) {
            co_return tl::unexpected(part.error());
        }
        if (part->end) {
            co_return answer;
        }
        answer.body += part->bytes;
    }
}

asio::awaitable<void> callInto(asio::io_context &io, kernel::Endpoint where,
                               http::CallTimeouts timeouts, std::function<void()> opened,
                               std::optional<Result> &result)
{
    auto answer = co_await callWith(io, where, timeouts, std::move(opened));
    result.emplace(std::move(answer));
}

void beginCall(
        asio::io_context &io, const kernel::Endpoint &where, const http::CallTimeouts &timeouts,
        std::optional<Result> &result, std::function<void()> opened = [] {})
{
    asio::co_spawn(io, callInto(io, where, timeouts, std::move(opened), result), asio::detached);
}

/** Holds the loop up past the end of a limit, until an event has happened behind it. */
class HoldUp
{
public:
    HoldUp(asio::io_context &io, Duration limit)
        : crowd_(io)
        , limit_(limit)
    {
    }

    /** Runs in the loop: holds it up unless the call is over already. */
    void operator()(const std::optional<Result> &result)
    {
        held_ = !result;
        if (held_) {
            support::blockPast(limit_);
        }
        // Also where the call was over too early: the loop ends only once nobody waits for the
        // crowd.
        crowd_.becomeReadable();
        standing_.set_value();
        if (held_) {
            happened_.get_future().wait();
        }
    }

    /** In the other thread: waits until the loop stands still. \return false if it doesn't. */
    bool untilStanding()
    {
        standing_.get_future().wait();
        return held_;
    }

    /** In the other thread: the event has happened, the loop may go on. */
    void release() { happened_.set_value(); }

    /** In the other thread: the limit had closed the connection before the loop stood still. */
    void releaseTooLate()
    {
        tooLate_ = true;
        release();
    }

    /** Whether it came in time, before the limit ended the call. */
    bool held() const { return held_ && !tooLate_; }

private:
    support::Crowd crowd_;
    Duration limit_;
    std::promise<void> standing_;
    std::promise<void> happened_;
    bool held_ = false;
    bool tooLate_ = false;
};

/** One try to bring the loop into the state. \return nothing if the limit ended before that. */
std::optional<Result> tryStage(const Stage &stage, Duration limit)
{
    asio::io_context io(1);
    Peer peer;
    std::optional<Result> result;
    HoldUp holdUp(io, limit);
    const bool withinBody = !stage.before.empty();
    const auto begin = [&] { asio::post(io, [&] { holdUp(result); }); };
    std::jthread server([&] {
        peer.takeRequest();
        if (withinBody) {
            peer.send(stage.before);
        } else {
            begin();
        }
        if (!holdUp.untilStanding()) {
            return;
        }
        // The call may have been ended without a result yet. Nobody would take the bytes then.
        if (peer.clientGone()) {
            holdUp.releaseTooLate();
        } else {
            peer.send(stage.during);
            holdUp.release();
        }
    });
    const auto opened = [&] {
        if (withinBody) {
            begin();
        }
    };
    beginCall(io, peer.endpoint(), timeoutsWith(stage.limit, limit), result, opened);
    io.run();
    return holdUp.held() ? result : std::nullopt;
}

/** The same for a connection that comes about while the loop stands still. */
std::optional<Result> tryLateConnect(Duration limit)
{
    asio::io_context io(1);
    BusyListener listener;
    std::optional<Result> result;
    HoldUp holdUp(io, limit);
    std::jthread server([&] {
        if (!holdUp.untilStanding()) {
            return;
        }
        auto socket = listener.acceptLate();
        if (!socket) {
            holdUp.releaseTooLate();
            return;
        }
        holdUp.release();
        boost::system::error_code error;
        asio::write(*socket, asio::buffer(Head + Body), error);
        // The client closes when it has the answer, or has given up.
        std::array<char, 4096> part{};
        while (!error) {
            socket->read_some(asio::buffer(part), error);
        }
    });
    beginCall(io, listener.endpoint(), timeoutsWith(&http::CallTimeouts::connect, limit), result);
    // The call begins to connect before this has been through the loop twice.
    asio::post(io, [&] { asio::post(io, [&] { holdUp(result); }); });
    io.run();
    return holdUp.held() ? result : std::nullopt;
}

/** Makes the state with a limit that is long enough for this machine. */
Result resultOf(const std::function<std::optional<Result>(Duration limit)> &tryWith)
{
    std::optional<Result> result;
    for (Duration limit = FirstLimit; !result; limit *= 2) {
        result = tryWith(limit);
    }
    return *result;
}

/** A server that accepts and then sends \a bytes and no more; \return what the call comes to. */
Result resultOfSilentServer(const std::string &bytes, http::CallTimeouts timeouts)
{
    asio::io_context io(1);
    Peer peer;
    std::optional<Result> result;
    std::jthread server([&] {
        peer.takeRequest();
        peer.send(bytes);
    });
    beginCall(io, peer.endpoint(), timeouts, result);
    io.run();
    return *result;
}

std::string text(const Result &result)
{
    return result ? result->body : "failed: " + result.error().message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ClientWaitTest)

BOOST_AUTO_TEST_CASE(call_answerUnreadWhenHeadLimitEnds_isDelivered)
{
    const Stage stage{.before = {}, .during = Head + Body, .limit = &http::CallTimeouts::head};
    for (int round = 0; round < Rounds; ++round) {
        const Result result = resultOf([&](Duration limit) { return tryStage(stage, limit); });
        BOOST_TEST(text(result) == Body);
    }
}

BOOST_AUTO_TEST_CASE(call_partUnreadWhenPartLimitEnds_isDelivered)
{
    const Stage stage{.before = Head, .during = Body, .limit = &http::CallTimeouts::part};
    for (int round = 0; round < Rounds; ++round) {
        const Result result = resultOf([&](Duration limit) { return tryStage(stage, limit); });
        BOOST_TEST(text(result) == Body);
    }
}

BOOST_AUTO_TEST_CASE(call_connectedWhenConnectLimitEnds_goesOn)
{
    for (int round = 0; round < ConnectRounds; ++round) {
        const Result result = resultOf(tryLateConnect);
        BOOST_TEST(text(result) == Body);
    }
}

BOOST_AUTO_TEST_CASE(call_serverSendsNothing_timesOutAtItsHead)
{
    const Result result =
            resultOfSilentServer("", timeoutsWith(&http::CallTimeouts::head, FirstLimit));
    BOOST_REQUIRE(!result);
    BOOST_TEST(result.error().timedOut);
    BOOST_TEST((result.error().point == outcome::FailurePoint::AllSent));
}

BOOST_AUTO_TEST_CASE(call_serverSendsHalfAHead_timesOutAtItsHead)
{
    const Result result = resultOfSilentServer("HTTP/1.1 200 OK\r\n",
                                               timeoutsWith(&http::CallTimeouts::head, FirstLimit));
    BOOST_REQUIRE(!result);
    BOOST_TEST(result.error().timedOut);
    BOOST_TEST((result.error().point == outcome::FailurePoint::AllSent));
}

BOOST_AUTO_TEST_CASE(call_serverStopsWithinBody_timesOutAtItsPart)
{
    const Result result =
            resultOfSilentServer(Head + "do", timeoutsWith(&http::CallTimeouts::part, FirstLimit));
    BOOST_REQUIRE(!result);
    BOOST_TEST(result.error().timedOut);
    BOOST_TEST((result.error().point == outcome::FailurePoint::AnswerBegun));
}

BOOST_AUTO_TEST_CASE(call_serverDoesNotReadTheRequest_timesOutWithPartSent)
{
    asio::io_context io(1);
    // It listens and never accepts: the system takes what fits its buffers.
    tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const kernel::Endpoint where{"127.0.0.1", acceptor.local_endpoint().port()};
    constexpr std::size_t MoreThanBuffersTake = 64U << 20U;
    std::optional<Result> result;
    const auto run = [&]() -> asio::awaitable<void> {
        http::Request request{"POST", "/", {}, std::string(MoreThanBuffersTake, 'x')};
        const http::CallTimeouts timeouts = timeoutsWith(&http::CallTimeouts::head, FirstLimit);
        auto answer = co_await http::call(io, where, std::move(request), timeouts);
        result.emplace(std::move(answer));
    };
    asio::co_spawn(io, run, asio::detached);
    io.run();
    BOOST_REQUIRE(result.has_value());
    BOOST_REQUIRE(!*result);
    BOOST_TEST(result->error().timedOut);
    BOOST_TEST((result->error().point == outcome::FailurePoint::PartSent));
}

BOOST_AUTO_TEST_SUITE_END()
