// A backend server whose answer ends in the middle of its head: whatever was cut, however, and
// whatever came before on that connection, the caller never gets a success, and nothing that is
// framed as whole.

#include "http/Client.h"
#include "platform/GatewayFixture.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);

/** How a server ends after the part of a head. */
enum class HeadEnd : std::uint8_t { Closed, Reset, Silent };

/** A head and where it is cut. */
struct CutHead
{
    std::string sent; ///< "ID" in it stands for the request's id.
    HeadEnd end = HeadEnd::Closed;
    bool kept = false; ///< The connection has carried a whole answer before.
};

const std::string PlainHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: i-cut.1\r\n"
                              "Content-Type: text/plain\r\nContent-Length: 1234\r\n\r\n";
const std::string StreamHead =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: i-cut.1\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string UnframedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
                                 "X-Response-Stamp: i-cut.1\r\nContent-Type: text/plain\r\n\r\n";
const std::string Whole = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: i-cut.1\r\n"
                          "Content-Length: 2\r\n\r\nok";
const std::string Interim = "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: ID\r\n\r\n";

/** A server on raw sockets. */
class CutHeadServer
{
public:
    explicit CutHeadServer(asio::io_context &io)
        : io_(io)
        , acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(io_, accept(), asio::detached);
    }

    ~CutHeadServer()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    }

    kernel::Endpoint where() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    /** What the next request is answered with; nothing: a whole answer. */
    std::optional<CutHead> next;

    std::size_t requests() const { return state_->requests; }

private:
    struct State
    {
        std::size_t requests = 0;
        std::vector<std::shared_ptr<tcp::socket>> silent;
    };

    static std::string idIn(const std::string &head)
    {
        constexpr std::string_view Name = "X-Attempt-Id: ";
        const std::size_t begin = head.find(Name) + Name.size();
        return head.substr(begin, head.find('\r', begin) - begin);
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, socket] = co_await acceptor_.async_accept(Quiet);
            if (error) {
                co_return;
            }
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            asio::co_spawn(io_, serve(shared), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        const auto state = state_;
        std::string read;
        while (true) {
            const auto [failed, bytes] = co_await asio::async_read_until(
                    *socket, asio::dynamic_buffer(read), "\r\n\r\n", Quiet);
            if (failed) {
                co_return;
            }
            const std::string id = idIn(read);
            read.erase(0, bytes);
            ++state->requests;
            const std::optional<CutHead> cut = std::exchange(next, std::nullopt);
            const std::string text =
                    boost::algorithm::replace_all_copy(cut ? cut->sent : Whole, "ID", id);
            co_await asio::async_write(*socket, asio::buffer(text), Quiet);
            if (!cut) {
                continue;
            }
            if (cut->end == HeadEnd::Silent) {
                state->silent.push_back(socket);
            } else if (cut->end == HeadEnd::Reset) {
                socket->set_option(asio::socket_base::linger(true, 0));
            }
            co_return;
        }
    }

    asio::io_context &io_;
    tcp::acceptor acceptor_;
    std::shared_ptr<State> state_ = std::make_shared<State>();
};

/** A gateway whose only server cuts heads. */
struct CutHeadFixture : GatewayFixture
{
    CutHeadFixture()
    {
        server = std::make_unique<CutHeadServer>(io_);
        nlohmann::json entry = entryOf(runner(0), "pool");
        entry["address"] = kernel::text(server->where());
        store().put("servers", "i-cut", entry);
        putConfiguration(configuration(1));
        start();
        until([this] { return ready(); }, "readiness");
    }

    GatewayAnswer ask(const std::string &method, const std::string &target)
    {
        return call(request(method, target, http::Fields().with("X-Deadline-Ms", "700")));
    }

    void check(const std::string &target, const CutHead &cut, const std::string &what)
    {
        const bool stream = target.starts_with("/stream") || target.starts_with("/resume");
        BOOST_TEST_CONTEXT(target << ", " << what << (cut.kept ? ", kept" : ", new"))
        {
            if (cut.kept) {
                BOOST_REQUIRE(ask("GET", "/again/x").status == 200);
            }
            const std::size_t before = server->requests();
            server->next = cut;
            const auto pending =
                    begin(request("GET", target, http::Fields().with("X-Deadline-Ms", "700")));
            const GatewayAnswer answer = finish(pending);
            server->next.reset();
            const std::size_t sends = server->requests() - before;
            BOOST_TEST(sends >= 1U);
            const bool once = target.starts_with("/once") || target.starts_with("/stream");
            BOOST_TEST((!once || sends == 1U));
            // Repeated, it met a whole answer.
            const bool repeated = sends > 1;
            const bool success = answer.status / 100 == 2;
            BOOST_TEST((!success || repeated));
            BOOST_TEST((!success || stream || answer.body == "ok"));
            BOOST_TEST((success || answer.status == 502 || answer.status == 504));
        }
    }

    std::unique_ptr<CutHeadServer> server;
};

/** The places at which a head is cut, with a name each. */
std::vector<std::pair<std::string, std::size_t>> cuts(const std::string &head)
{
    const auto behind = [&head](const std::string &text) { return head.find(text) + text.size(); };
    return {{"nothing", 0},
            {"in the protocol's name", 4},
            {"in the status", behind("HTTP/1.1 2")},
            {"behind the status", behind("HTTP/1.1 200")},
            {"in the reason", behind("HTTP/1.1 200 O")},
            {"behind the status line", behind("200 OK\r\n")},
            {"in a field's name", behind("X-Attempt")},
            {"in a field's value", behind("X-Response-Stamp: i-c")},
            {"behind the signature", behind("X-Response-Stamp: i-cut.1\r\n")},
            {"before the last four letters", head.size() - 4},
            {"in the last number", head.size() - 6},
            {"before the empty line", head.size() - 2},
            {"in the empty line", head.size() - 1}};
}

const std::vector<std::string> Targets = {"/once/x", "/again/x", "/stream/x", "/resume/x"};

} // namespace

BOOST_AUTO_TEST_SUITE(CutHeadTest)

// Guards against the part of a head that is taken for a whole one, and its answer for a short or
// empty success.
BOOST_FIXTURE_TEST_CASE(head_isCutOff_callerGetsNoSuccess, CutHeadFixture)
{
    for (const std::string &head : {PlainHead, StreamHead, UnframedHead}) {
        for (const auto &[what, place] : cuts(head)) {
            for (const std::string &target : Targets) {
                for (const bool kept : {false, true}) {
                    for (const HeadEnd end : {HeadEnd::Closed, HeadEnd::Reset}) {
                        check(target, {head.substr(0, place), end, kept}, what);
                    }
                }
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(head_isCutOffBehindAnInterimOne_callerGetsNoSuccess, CutHeadFixture)
{
    for (const auto &[what, place] : cuts(PlainHead)) {
        for (const std::string &target : Targets) {
            check(target, {Interim + PlainHead.substr(0, place), HeadEnd::Closed, false}, what);
            check(target, {Interim.substr(0, Interim.size() - 2), HeadEnd::Closed, false}, what);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(head_isCutOffAndThenSilence_callerGetsNoSuccess, CutHeadFixture)
{
    for (const std::size_t place : {std::size_t{0}, std::size_t{30}, PlainHead.size() - 2}) {
        for (const std::string &target : Targets) {
            check(target, {PlainHead.substr(0, place), HeadEnd::Silent, false}, "silence");
        }
    }
}

// The store, relays and detours are asked by other means than backend servers.
BOOST_FIXTURE_TEST_CASE(head_isCutOffTowardsTheBoxItself_isNoAnswer, CutHeadFixture)
{
    for (const std::string &head : {PlainHead, UnframedHead}) {
        for (const auto &[what, place] : cuts(head)) {
            for (const HeadEnd end : {HeadEnd::Closed, HeadEnd::Reset, HeadEnd::Silent}) {
                BOOST_TEST_CONTEXT(what)
                {
                    server->next = CutHead{head.substr(0, place), end, false};
                    std::optional<bool> answered;
                    asio::co_spawn(
                            io_,
                            [&]() -> asio::awaitable<void> {
                                const http::CallTimeouts limits{100ms, 100ms, 100ms};
                                http::Request asked = request("GET", "/x");
                                const auto answer = co_await http::call(io_, server->where(),
                                                                        std::move(asked), limits);
                                answered = answer.has_value();
                            },
                            asio::detached);
                    until([&] { return answered.has_value(); }, "the end of the call");
                    BOOST_TEST(!*answered);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
