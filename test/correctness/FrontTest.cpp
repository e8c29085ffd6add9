// Invalid requests of callers, and the limits that keep slow or faulty clients from tying up a box.

#include "support/Fleet.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using support::Fleet;
using support::Turn;

namespace {

struct FrontFixture
{
    FrontFixture()
    {
        fleet.settings([](kernel::BoxSettings &settings) {
            settings.headBytes = 2048;
            settings.bodyBytes = 4096;
            settings.connections = 8;
            settings.headTimeout = 300ms;
        });
        fleet.engines("hall-a", 1).routers("hall-a", 1);
        fleet.start();
    }

    /** Sends \a bytes unchanged. \return all bytes received until the box closes the connection. */
    std::string raw(const std::string &bytes)
    {
        std::string received;
        fleet.await([&]() -> boost::asio::awaitable<void> {
            namespace asio = boost::asio;
            asio::ip::tcp::socket socket(fleet.io());
            const auto &at = fleet.context(0).settings.caller;
            co_await socket.async_connect({asio::ip::make_address(at.address), at.port},
                                          asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(bytes),
                                       asio::as_tuple(asio::use_awaitable));
            std::array<char, 4096> part{};
            while (true) {
                const auto [error, count] = co_await socket.async_read_some(
                        asio::buffer(part), asio::as_tuple(asio::use_awaitable));
                received.append(part.data(), count);
                if (error) {
                    break;
                }
            }
        });
        return received;
    }

    Fleet fleet;
};

http::Request chatWith(const std::string &body, const std::string &key = "key-of-the-hauler-a")
{
    return {"POST", "/v1/chat/completions", http::Fields().with("Authorization", "Bearer " + key),
            body};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(FrontTest, FrontFixture)

BOOST_AUTO_TEST_CASE(request_badInput_isRefusedWithItsCodeAndNotRun)
{
    const std::string message = R"("messages":[{"role":"user","content":"x"}])";
    const std::pair<http::Request, std::string> rows[] = {
            {chatWith("not json"), "100"},
            {chatWith("[]"), "100"},
            {chatWith(R"({"model":"small"})"), "100"},
            {chatWith(R"({"model":7,)" + message + "}"), "100"},
            {chatWith(R"({"model":"small","messages":[]})"), "100"},
            {chatWith(R"({"model":"small","messages":["x"]})"), "100"},
            {chatWith(R"({"model":"small","stream":1,)" + message + "}"), "100"},
            {chatWith(R"({"model":"small","max_tokens":0,)" + message + "}"), "100"},
            {chatWith(R"({"model":"small","max_tokens":"many",)" + message + "}"), "100"},
            {chatWith(R"({"model":"small","prompt_cache_key":5,)" + message + "}"), "100"},
            {chatWith(R"({"model":"huge",)" + message + "}"), "103"},
            {chatWith(R"({"model":"small",)" + message + "}", "wrong"), "101"},
            {{"POST", "/v1/chat/completions"}, "101"},
            {{"GET", "/v1/chat/completions"}, "107"},
            {{"GET", "/nope"}, "107"},
            {{"GET", "/metrics"}, "107"},
            {{"GET", "/v1/services/nope/x",
              http::Fields().with("Authorization", "Bearer key-of-the-hauler-a")},
             "104"},
    };
    for (const auto &[request, code] : rows) {
        BOOST_TEST_CONTEXT(request.target << ' ' << request.body)
        {
            const auto answer = fleet.call(0, request);
            BOOST_TEST(answer.resultCode == code);
            BOOST_TEST(answer.ran == "not-run");
            BOOST_TEST(!answer.requestId.empty());
        }
    }
    BOOST_TEST(fleet.engineRuns() == 0);
}

BOOST_AUTO_TEST_CASE(request_brokenHttp_isRefusedAndTheConnectionClosed)
{
    const std::pair<std::string, std::string> rows[] = {
            {"NONSENSE\r\n\r\n", "X-Result-Code: 100"},
            {"GET / HTTP/1.0\r\n\r\n", "X-Result-Code: 100"},
            {"POST /x HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "X-Result-Code: 105"},
            {"GET /x HTTP/1.1\r\nX-Long: " + std::string(4000, 'a') + "\r\n\r\n",
             "X-Result-Code: 105"},
    };
    for (const auto &[bytes, expected] : rows) {
        BOOST_TEST(raw(bytes).find(expected) != std::string::npos);
    }
}

// Failure: a body in a transfer coding that the box doesn't know ran as a second request.
BOOST_AUTO_TEST_CASE(request_framingIsUnclear_isRefusedAndItsBodyIsNoRequest)
{
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string length = "Content-Length: " + std::to_string(smuggled.size()) + "\r\n";
    const std::string framings[] = {
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: chunked, identity\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: gzip\r\nTransfer-Encoding: identity\r\n",
            "Transfer-Encoding: gzip\r\n" + length,
            "Transfer-Encoding: chunked\r\n" + length,
            length + "Content-Length: 0\r\n",
            "Content-Length: +5\r\n",
            "Content-Length: 5 5\r\n",
            "Content-Length: -1\r\n",
    };
    for (const std::string &framing : framings) {
        BOOST_TEST_CONTEXT(framing)
        {
            const std::string answers =
                    raw("POST /nope HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n" + smuggled);
            BOOST_TEST(answers.find("X-Result-Code: 100") != std::string::npos);
            BOOST_TEST(answers.rfind("HTTP/1.1 ") == 0U, "more than one answer");
        }
    }
    const std::string clear = raw("POST /nope HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                                  "transfer-encoding: Chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
    BOOST_TEST(clear.find("X-Result-Code: 107") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(client_sendsHalfARequest_isDroppedAfterTheHeadTimeout)
{
    BOOST_TEST(
            raw("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf").empty());
}

BOOST_AUTO_TEST_CASE(client_tooManyConnections_isRefusedWithItsResultCode)
{
    namespace asio = boost::asio;
    const auto &at = fleet.context(0).settings.caller;
    std::vector<asio::ip::tcp::socket> open;
    for (int index = 0; index < 8; ++index) {
        open.emplace_back(fleet.io());
        open.back().connect({asio::ip::make_address(at.address), at.port});
    }
    const auto refused = [this] {
        return raw("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").find("X-Result-Code: 209")
               != std::string::npos;
    };
    BOOST_TEST(fleet.until(refused));
}

BOOST_AUTO_TEST_CASE(health_always_isAnsweredWithoutAKey)
{
    BOOST_TEST(fleet.call(0, {"GET", "/healthz"}).status == 200);
    BOOST_TEST(fleet.call(0, {"GET", "/readyz"}).status == 200);
}

BOOST_AUTO_TEST_CASE(control_withoutOperatorsKey_isRefused)
{
    for (const char *path : {"/v1/status", "/v1/settings", "/v1/settings/status"}) {
        http::Answer answer;
        fleet.await([&]() -> boost::asio::awaitable<void> {
            http::Request request("GET", path,
                                  http::Fields().with("Authorization", "Bearer wrong"));
            const auto result =
                    co_await http::call(fleet.io(), fleet.context(0).settings.control, request, {});
            answer = *result;
        });
        BOOST_TEST(answer.status == 401);
    }
}

BOOST_AUTO_TEST_CASE(organisation_withoutThePool_isRefused)
{
    BOOST_TEST(fleet.set(0, "/accra/hauler-b", "allow-pools", "").status == 200);
    BOOST_TEST(fleet.chat(0, Turn{.key = "key-of-the-hauler-b"}).resultCode == "102");
    BOOST_TEST(fleet.chat(0, Turn{.key = "key-of-the-hauler-a"}).whole);
}

BOOST_AUTO_TEST_CASE(organisation_atItsLimit_isRefusedAtOnceWithRetryAfter)
{
    BOOST_TEST(fleet.set(0, "/accra/hauler-b", "requests-per-minute", "6").status == 200);
    BOOST_TEST(fleet.chat(0, Turn{.key = "key-of-the-hauler-b"}).whole);
    const auto refused = fleet.chat(0, Turn{.key = "key-of-the-hauler-b"});
    BOOST_TEST(refused.resultCode == "203");
    BOOST_TEST(!refused.retryAfter.empty());
    BOOST_TEST(fleet.chat(0, Turn{.key = "key-of-the-hauler-a"}).whole);
}

BOOST_AUTO_TEST_SUITE_END()
