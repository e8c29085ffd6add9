// Servers that answer before they have read a whole body, and answers whose heads aren't those of
// an answer, wherever answers are read.

#include "gateway/FeedConnection.h"
#include "platform/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t UploadBytes = std::size_t{12} * 1024 * 1024;
constexpr std::size_t PartBytes = 1000;

std::string idIn(const std::string &head)
{
    constexpr std::string_view Name = "X-Attempt-Id: ";
    const std::size_t begin = head.find(Name) + Name.size();
    return head.substr(begin, head.find('\r', begin) - begin);
}

/** A server that answers each request as soon as its head has come, and then ends the connection
 * with the rest of the request unread, by which the system resets it. */
class HastyServer
{
public:
    explicit HastyServer(asio::io_context &io)
        : io_(io)
        , acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(io_, accept(), asio::detached);
    }

    ~HastyServer()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

    kernel::Endpoint where() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    std::string statusLine = "HTTP/1.1 200 OK";
    std::string fields; ///< More of the head, each with its end of line.
    std::string body = std::string(PartBytes, 'y');

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(Quiet);
            if (error) {
                co_return;
            }
            asio::co_spawn(io_, answer(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> answer(tcp::socket socket)
    {
        std::string head;
        const auto [failed, bytes] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(head), "\r\n\r\n", Quiet);
        if (failed) {
            co_return;
        }
        const std::string text = statusLine + "\r\nX-Attempt-Id: " + idIn(head)
                                 + "\r\nX-Response-Stamp: i-hasty.1\r\n" + fields + "\r\n" + body;
        co_await asio::async_write(socket, asio::buffer(text), Quiet);
    }

    asio::io_context &io_;
    tcp::acceptor acceptor_;
};

/** A gateway before such a server. */
struct UploadFixture : GatewayFixture
{
    UploadFixture()
        : server(io_)
    {
        nlohmann::json spec = configuration(1);
        spec["limits"]["max_body_bytes"] = 2 * UploadBytes;
        putConfiguration(spec);
        nlohmann::json entry = entryOf(runner(0), "pool");
        entry["address"] = kernel::text(server.where());
        store().put("servers", "i-hasty", entry);
        start();
        until([this] { return ready(); }, "readiness");
    }

    GatewayAnswer upload(const std::string &target, std::size_t bytes)
    {
        http::Request asked = request("POST", target);
        asked.body = std::string(bytes, 'z');
        return call(std::move(asked));
    }

    /** Runs \a asked to its end. */
    template <typename Result>
    Result ended(asio::awaitable<Result> asked)
    {
        std::optional<Result> result;
        asio::co_spawn(io_, std::move(asked), [&](const std::exception_ptr &fault, Result got) {
            BOOST_TEST(!fault);
            result.emplace(std::move(got));
        });
        until([&] { return result.has_value(); }, "the end of the call");
        return std::move(*result);
    }

    /** As the store and relays are asked. */
    tl::expected<http::Answer, std::string> askAsAFeed()
    {
        gateway::FeedConnection connection(context(), "test");
        const auto opened = ended(connection.open(server.where(), 10s));
        BOOST_REQUIRE(opened.has_value());
        const gateway::AnswerWait wait{10s, 10s, 10s};
        return ended(connection.ask(request("GET", "/list"), wait));
    }

    /** As states are asked. */
    tl::expected<http::Answer, http::CallFailure> callByItself()
    {
        return ended(http::call(context().io, server.where(), request("GET", "/state"), {}));
    }

    HastyServer server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UploadAnswerTest, UploadFixture)

// Guards against a part of an answer that is shown as whole, as its reset came while the request
// was still being written.
BOOST_AUTO_TEST_CASE(upload_answerHasNoLengthAndIsReset_isNotShownAsWhole)
{
    for (int play = 0; play < 10; ++play) {
        for (const char *target : {"/again/x", "/once/x", "/stream/x", "/resume/x"}) {
            const GatewayAnswer answer = upload(target, UploadBytes);
            BOOST_TEST((answer.status != 200 || !answer.whole),
                       target << ": a whole answer of " << answer.body.size() << " bytes");
        }
    }
}

// Guards against an early answer that is thrown away though its end is marked.
BOOST_AUTO_TEST_CASE(upload_answerHasItsLength_isPassedOn)
{
    server.fields = "Content-Length: " + std::to_string(PartBytes) + "\r\n";
    const GatewayAnswer answer = upload("/again/x", UploadBytes);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.body == server.body);
}

// Guards against a status that is none and is shown to the caller as one.
BOOST_AUTO_TEST_CASE(status_isNoneOfHttp_isTheServersFailure)
{
    server.fields = "Content-Length: " + std::to_string(PartBytes) + "\r\n";
    for (const char *status : {"000", "001", "099", "600", "999"}) {
        server.statusLine = std::string("HTTP/1.1 ") + status + " Odd";
        for (const char *target : {"/again/x", "/once/x", "/stream/x", "/resume/x"}) {
            BOOST_TEST(call(request("GET", target)).status == 502, status << " at " << target);
        }
        BOOST_TEST(!askAsAFeed().has_value(), status);
        BOOST_TEST(!callByItself().has_value(), status);
    }
}

// Guards against a line that is no field and is passed on as one, or that hides another.
BOOST_AUTO_TEST_CASE(head_lineIsNoField_isTheServersFailure)
{
    const std::string length = "Content-Length: " + std::to_string(PartBytes) + "\r\n";
    const std::vector<std::string> lines = {"X Odd: 1",
                                            "X-Odd : 1",
                                            "X\tOdd: 1",
                                            "X\x01Odd: 1",
                                            ": 1",
                                            "X-Odd",
                                            "X-Odd\xFF: 1",
                                            "X-Odd: a\x01\x62",
                                            "X-Odd: a\rb: c",
                                            std::string("X\0Odd: 1", 8)};
    for (const std::string &line : lines) {
        server.fields = length + line + "\r\n";
        BOOST_TEST(call(request("GET", "/again/x")).status == 502, line);
        BOOST_TEST(!askAsAFeed().has_value(), line);
        BOOST_TEST(!callByItself().has_value(), line);
    }
}

BOOST_AUTO_TEST_SUITE_END()
