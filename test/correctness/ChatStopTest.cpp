// A planned stop of a box with the project's own interface: what becomes of requests that come
// after the drain, on connections that were promised to stay open.

#include "http/KeptConnection.h"
#include "services/StopService.h"
#include "support/Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using support::Fleet;
using support::Turn;

namespace {

constexpr std::size_t MostBytes = 1048576;

struct ChatStopFixture
{
    ChatStopFixture()
    {
        fleet.engines("hall-a", 1).serviceRunners("hall-a", 1, "calendar").routers("hall-a", 2);
        fleet.start();
    }

    /** A chat whose stream outlasts the drain; the stop begins with its head, and \a next follows
     * on its connection. \return the answer to \a next. */
    http::Answer askAfterLongChat(http::Request next)
    {
        http::Answer answer(0);
        fleet.await([&]() -> boost::asio::awaitable<void> {
            const auto connected = co_await http::KeptConnection::connect(
                    fleet.io(), fleet.context(0).settings.caller, 10s);
            const http::KeptConnection::Ptr &connection = connected.value();
            connection->send(Fleet::chatRequest(Turn{.chat = "long", .tokens = 300}));
            auto head = co_await connection->readHead();
            BOOST_REQUIRE(head->fields.get("Connection") == "keep-alive");
            fleet.context(0).kernel.find<services::StopService>("stop").leave();
            auto chat = co_await connection->readAll(MostBytes);
            BOOST_REQUIRE(chat.has_value());
            connection->send(std::move(next));
            auto start = co_await connection->readHead();
            if (!start) {
                co_return;
            }
            auto body = co_await connection->readAll(MostBytes);
            answer = http::Answer(body ? start->status : 0, start->fields);
        });
        return answer;
    }

    static void checkRefused(const http::Answer &answer)
    {
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.fields.get("X-Result-Code") == "201");
        BOOST_TEST(answer.fields.get("X-Ran") == "not-run");
        BOOST_TEST(answer.fields.get("Connection") == "close");
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChatStopTest, ChatStopFixture)

// Failure: a chat that came after the drain was begun, and cut at the end of the stop.
BOOST_AUTO_TEST_CASE(chatEndsAfterTheDrain_nextChatOnItsConnection_isRefusedAsNotRun)
{
    checkRefused(askAfterLongChat(Fleet::chatRequest(Turn{.chat = "late"})));
    BOOST_TEST(fleet.engineRuns() == 1);
}

// Failure: the same of calls to plain services.
BOOST_AUTO_TEST_CASE(chatEndsAfterTheDrain_nextCallOnItsConnection_isRefusedAsNotRun)
{
    checkRefused(
            askAfterLongChat({"GET", "/v1/services/calendar/day",
                              http::Fields().with("Authorization", "Bearer key-of-the-hauler-a")}));
    BOOST_TEST(fleet.serviceRuns() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
