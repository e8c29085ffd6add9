// Tests ConnectionPool.
//
// Guards against idle connections that count as fresher than they are. A run may take a connection,
// find that the request may no longer be sent, and return the connection unused. If it then counted
// as just used, a request that must run only once could be sent on a connection that its server is
// about to close, and it would be unknown whether the request ran.

#include "gateway/ConnectionPool.h"
#include "http/Server.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
namespace asio = boost::asio;

namespace {

/** A pool with a simulated clock, and a server that answers. */
struct PoolFixture
{
    PoolFixture()
        : context(io, kernel::BoxSettings())
        , server(io, http::ServerLimits(),
                 [](http::Request, http::Reply &reply) -> asio::awaitable<void> {
                     http::Answer answer(200, {}, "whole");
                     co_await reply.send(std::move(answer));
                 })
        , pool(context)
    {
        context.now = [this] { return now; };
        server.listen({"127.0.0.1", 0});
        listed.id = "i-one";
        listed.address = {"127.0.0.1", server.port()};
    }

    asio::awaitable<void> exchange()
    {
        auto connected = co_await http::KeptConnection::connect(io, listed.address, 10s);
        connection = connected.value();
        http::Request request("GET", "/x", http::Fields().with("Host", "calls.example"));
        connection->send(std::move(request));
        co_await connection->readHead();
        co_await connection->readAll(100);
        done = true;
    }

    /** Connects and completes one exchange, after which the connection can be reused. */
    void useOnce()
    {
        asio::co_spawn(io, exchange(), asio::detached);
        while (!done) {
            io.run_one();
        }
    }

    asio::io_context io{1};
    services::Context context;
    http::Server server;
    gateway::ConnectionPool pool;
    forward::ListedServer listed;
    http::KeptConnection::Ptr connection;
    kernel::Instant now{};
    bool done = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionPoolTest, PoolFixture)

BOOST_AUTO_TEST_CASE(connection_returnedUnused_keepsItsIdleTime)
{
    useOnce();
    pool.returnUsed(listed, connection, std::nullopt, 0ms);
    now += 900ms;
    auto taken = pool.take(listed, true);
    BOOST_REQUIRE(taken);
    pool.returnUnused(listed, std::move(*taken));
    now += 200ms;
    BOOST_TEST(!pool.take(listed, true).has_value());
    BOOST_TEST(pool.take(listed, false).has_value());
}

BOOST_AUTO_TEST_CASE(connection_returnedUnused_isKeptAsLongAsItsServerAnnounced)
{
    useOnce();
    pool.returnUsed(listed, connection, 10s, 0ms);
    now += 9s;
    auto taken = pool.take(listed, true);
    BOOST_REQUIRE(taken);
    pool.returnUnused(listed, std::move(*taken));
    now += 400ms;
    BOOST_TEST(pool.take(listed, true).has_value());
}

BOOST_AUTO_TEST_CASE(connection_returnedUnused_expiresAsBefore)
{
    useOnce();
    pool.returnUsed(listed, connection, 10s, 0ms);
    now += 9s;
    auto taken = pool.take(listed, true);
    BOOST_REQUIRE(taken);
    pool.returnUnused(listed, std::move(*taken));
    now += 600ms;
    BOOST_TEST(!pool.take(listed, false).has_value());
}

// After a request on an idle connection got no answer, connections that were idle at the same time
// are no longer offered; one that has received an answer since then is.
BOOST_AUTO_TEST_CASE(connection_anotherOneFellSilent_isOfferedOnlyIfItHasAnsweredSince)
{
    useOnce();
    pool.returnUsed(listed, connection, 60s, 0s);
    now += 1s;
    const kernel::Instant sent = now;
    now += 1s;
    done = false;
    useOnce();
    const http::KeptConnection::Ptr younger = connection;
    pool.returnUsed(listed, younger, 60s, 0s);
    pool.closeIdleBefore(listed.id, sent);
    const auto taken = pool.take(listed, false);
    BOOST_TEST_REQUIRE(taken.has_value());
    BOOST_TEST((taken->connection == younger));
    BOOST_TEST(!pool.take(listed, false).has_value());
    BOOST_TEST(context.counters.value("connections_doubted") == 1U);
}

// The idle time must count from the arrival of the answer, not from when it was read: the server
// counts from when it sent the answer, which may have been unread for long.
BOOST_AUTO_TEST_CASE(connection_answerWasUnread_idleTimeCountsFromItsArrival)
{
    useOnce();
    pool.returnUsed(listed, connection, 2s, 1400ms);
    now += 90ms;
    auto taken = pool.take(listed, true);
    BOOST_REQUIRE(taken);
    pool.returnUnused(listed, std::move(*taken));
    now += 20ms;
    BOOST_TEST(!pool.take(listed, false).has_value());
}

BOOST_AUTO_TEST_CASE(connection_answerWasUnreadAndServerAnnouncedNothing_isNotSurelyOpen)
{
    useOnce();
    pool.returnUsed(listed, connection, std::nullopt, 1100ms);
    BOOST_TEST(!pool.take(listed, true).has_value());
    BOOST_TEST(pool.take(listed, false).has_value());
}

BOOST_AUTO_TEST_CASE(connection_answerWasUnreadForTheWholeIdleTime_isClosed)
{
    useOnce();
    pool.returnUsed(listed, connection, 2s, 1500ms);
    BOOST_TEST(!pool.take(listed, false).has_value());
    BOOST_TEST(!connection->reusable());
}

BOOST_AUTO_TEST_SUITE_END()
