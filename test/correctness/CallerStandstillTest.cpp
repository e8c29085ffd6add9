// A table of standstills: at each step of a request the loop stands still, once or twice, while a
// limit runs out or the server begins to stop. What arrived before the limit is answered.

#include "http/Server.h"
#include "support/Standstill.h"

#include <boost/asio.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {

constexpr kernel::Duration Limit = 40ms;
constexpr kernel::Duration BetweenStandstills = 100ms;

/** What becomes due while the loop stands still, beside the limits. */
enum class Due : std::uint8_t { Nothing, Leaving, Drain };

/** How far a request is when the loop stands still; its rest is sent right then. */
struct Step
{
    const char *name;
    std::string before; ///< Sent before.
    std::string during; ///< Sent while the loop stands still.
};

std::vector<Step> steps()
{
    constexpr std::size_t BodyBytes = 10000; // More than one read of the server takes.
    const std::string head = "GET /x HTTP/1.1\r\nHost: calls.example\r\n\r\n";
    const std::string post = "POST /x HTTP/1.1\r\nHost: calls.example\r\nContent-Length: "
                             + std::to_string(BodyBytes) + "\r\n\r\n";
    const std::string body(BodyBytes, 'x');
    const std::string stream = "GET /stream HTTP/1.1\r\nHost: calls.example\r\n\r\n";
    return {{"nothing sent", "", head},
            {"half a head read", head.substr(0, head.size() / 2), head.substr(head.size() / 2)},
            {"head read", post, body},
            {"half a body read", post + body.substr(0, BodyBytes / 2), body.substr(BodyBytes / 2)},
            {"two requests at once", "", head + head},
            {"whole request handled", head, ""},
            {"stream begun", stream, ""}};
}

struct Standstills
{
    kernel::Duration length;
    bool twice;
};

std::ostream &operator<<(std::ostream &out, const Standstills &standstills)
{
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(standstills.length);
    return out << length.count() << " ms" << (standstills.twice ? ", twice" : "");
}

std::vector<Standstills> everyStandstill()
{
    std::vector<Standstills> all;
    for (const kernel::Duration length : {0ms, 50ms, 150ms, 300ms, 700ms, 1500ms}) {
        all.push_back({length, false});
        all.push_back({length, true});
    }
    return all;
}

/** A server for each thing that becomes due, with one caller at each step. */
struct StandstillFixture
{
    struct Caller
    {
        Step step;
        tcp::socket socket;
        std::string got;
    };

    struct Box
    {
        Due due;
        std::unique_ptr<http::Server> server;
        std::vector<Caller> callers;
    };

    asio::awaitable<void> handle(http::Request request, http::Reply &reply)
    {
        reply.watchClient([this] { ++leftCallers; });
        if (request.target == "/stream") {
            co_await reply.begin(200, {});
            co_await reply.write("begun");
        }
        while (!mayAnswer) {
            asio::steady_timer turn(io, 1ms);
            co_await turn.async_wait(asio::use_awaitable);
        }
        if (reply.begun()) {
            co_await reply.finish();
            co_return;
        }
        http::Answer answer(200, {}, "done");
        co_await reply.send(std::move(answer));
    }

    void open(Due due)
    {
        http::ServerLimits limits;
        limits.idleTimeout = Limit;
        limits.headTimeout = Limit;
        const auto handler = [this](http::Request request, http::Reply &reply) {
            return handle(std::move(request), reply);
        };
        Box box{due, std::make_unique<http::Server>(io, limits, handler), {}};
        box.server->listen({"127.0.0.1", 0});
        for (const Step &step : steps()) {
            tcp::socket socket(io);
            socket.connect({asio::ip::address_v4::loopback(), box.server->port()});
            socket.set_option(tcp::no_delay(true));
            asio::write(socket, asio::buffer(step.before));
            box.callers.push_back({step, std::move(socket), {}});
        }
        boxes.push_back(std::move(box));
    }

    /** What becomes due, and what callers send, in a standstill. */
    void sendAll()
    {
        for (Box &box : boxes) {
            for (Caller &caller : box.callers) {
                asio::write(caller.socket, asio::buffer(caller.step.during));
            }
            if (box.due == Due::Leaving) {
                box.server->closeAfterAnswers();
            } else if (box.due == Due::Drain) {
                box.server->drain();
            }
        }
    }

    void standStill(kernel::Duration length, std::function<void()> during)
    {
        bool over = false;
        support::standStill(io, {Clock::now() + length, std::move(during), {}});
        asio::post(io, [&] { over = true; });
        while (!over) {
            io.run_one();
        }
    }

    /** Runs the loop until all connections have ended, which they do by their limits. */
    void readAll()
    {
        const auto giveUp = Clock::now() + 20s;
        for (Box &box : boxes) {
            for (Caller &caller : box.callers) {
                caller.socket.non_blocking(true);
                boost::system::error_code error;
                while (!error || error == asio::error::would_block) {
                    BOOST_REQUIRE(Clock::now() < giveUp);
                    std::array<char, 4096> bytes{};
                    const auto count = caller.socket.read_some(asio::buffer(bytes), error);
                    caller.got.append(bytes.data(), count);
                    io.poll();
                    io.restart();
                }
            }
        }
    }

    /** Of two requests that are sent at once, the second is answered unless the server stops: the
     * first answer then says that it closes the connection. */
    static bool answered(const Caller &caller, Due due)
    {
        const bool second = caller.got.rfind("HTTP/1.1 200") != 0;
        const bool twoSent =
                due == Due::Nothing && caller.step.during.find("GET", 1) != std::string::npos;
        const bool good = caller.got.starts_with("HTTP/1.1 200") && second == twoSent;
        const bool stream = caller.got.find("begun") != std::string::npos;
        return good && (!stream || caller.got.ends_with("0\r\n\r\n"));
    }

    asio::io_context io{1};
    std::vector<Box> boxes;
    bool mayAnswer = false;
    std::size_t leftCallers = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerStandstillTest, StandstillFixture)

BOOST_DATA_TEST_CASE_F(StandstillFixture, request_loopStandsStillAtEachStep_isAnswered,
                       boost::unit_test::data::make(everyStandstill()), standstills)
{
    for (const Due due : {Due::Nothing, Due::Leaving, Due::Drain}) {
        open(due);
    }
    io.poll();
    io.restart();
    standStill(standstills.length, [this] { sendAll(); });
    mayAnswer = true;
    if (standstills.twice) {
        const auto until = Clock::now() + BetweenStandstills;
        while (Clock::now() < until) {
            io.run_for(1ms);
            io.restart();
        }
        standStill(standstills.length, {});
    }
    readAll();
    for (const Box &box : boxes) {
        for (const Caller &caller : box.callers) {
            BOOST_TEST_CONTEXT(caller.step.name << ", due " << static_cast<int>(box.due))
            {
                BOOST_TEST(answered(caller, box.due), caller.got);
            }
        }
    }
    BOOST_TEST(leftCallers == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
