// What a failed call says of how far its request came, against a server that ends at that moment.
// A process that is killed goes on listening until the system has ended it: the system takes
// connections and requests for it and resets them when the listener closes.

#include "http/Client.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace limereel;
namespace asio = boost::asio;
using asio::ip::tcp;
using outcome::FailurePoint;

namespace {

using Result = tl::expected<http::Answer, http::CallFailure>;

/** A call to a listener that never accepts, made step by step. */
class CallFixture
{
public:
    CallFixture()
        : listener_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , port_(listener_.local_endpoint().port())
    {
    }

    /** Begins to connect and goes no further. */
    void begin()
    {
        const auto call = [this]() -> asio::awaitable<void> {
            http::Request request{"POST", "/", {}, "the request"};
            const http::CallTimeouts timeouts{60s, 60s, 60s};
            kernel::Endpoint where{"127.0.0.1", port_};
            auto answer =
                    co_await http::call(callers_, std::move(where), std::move(request), timeouts);
            result_.emplace(std::move(answer));
        };
        asio::co_spawn(callers_, call, asio::detached);
        callers_.poll_one();
    }

    /** Waits until the system has taken the connection. */
    void connected() { listener_.wait(tcp::acceptor::wait_read); }

    /** Lets the caller send its request to the connection. */
    void send() { callers_.poll(); }

    void closeListener() { listener_.close(); }

    /** Lets the call come to its end; \return how it failed. */
    http::CallFailure failure()
    {
        callers_.restart();
        callers_.run();
        return result_.value().error();
    }

private:
    asio::io_context io_;
    tcp::acceptor listener_;
    std::uint16_t port_;
    asio::io_context callers_{1};
    std::optional<Result> result_;
};

bool nothingWasSent(FailurePoint point)
{
    return point == FailurePoint::BeforeConnect || point == FailurePoint::ConnectedUnsent;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClientPointTest, CallFixture)

BOOST_AUTO_TEST_CASE(listener_closedBeforeTheCall_nothingWasSent)
{
    closeListener();
    begin();
    BOOST_TEST(nothingWasSent(failure().point));
}

BOOST_AUTO_TEST_CASE(listener_closedBeforeTheRequestLeaves_nothingWasSent)
{
    begin();
    connected();
    closeListener();
    BOOST_TEST(nothingWasSent(failure().point));
}

BOOST_AUTO_TEST_CASE(listener_closedWithTheRequestUnread_allWasSent)
{
    begin();
    connected();
    send();
    closeListener();
    const http::CallFailure failed = failure();
    BOOST_TEST((failed.point == FailurePoint::AllSent));
    BOOST_TEST(!failed.timedOut);
}

BOOST_AUTO_TEST_SUITE_END()
