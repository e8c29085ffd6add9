#include "http/Server.h"

#include "http/ConnectionReply.h"
#include "http/TimeLimit.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>

namespace limereel::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

namespace {

// Errors come back as values: a client that goes away is ordinary.
constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);

} // namespace

struct Server::Shared
{
    Shared(asio::io_context &context, ServerLimits serverLimits, Handler requestHandler)
        : io(context)
        , limits(serverLimits)
        , handler(std::move(requestHandler))
        , acceptor(context)
    {
    }

    asio::io_context &io;
    ServerLimits limits;
    Handler handler;
    std::function<Answer(Refused)> refusal = [](Refused) { return Answer(400); };
    std::function<void(const ConnectionEnd &)> ended = [](const ConnectionEnd &) {};
    tcp::acceptor acceptor;
    std::size_t connections = 0;
    std::size_t active = 0;
    bool closing = false;
    std::set<tcp::socket *> resting; ///< Between two requests; closed at once by a drain.
};

namespace {

using Parser = bhttp::request_parser<bhttp::string_body>;

kernel::Instant steadyNow()
{
    return std::chrono::time_point_cast<kernel::Duration>(std::chrono::steady_clock::now());
}

Request toRequest(bhttp::request<bhttp::string_body> message)
{
    Request request{std::string(message.method_string()),
                    std::string(message.target()),
                    {},
                    std::move(message.body())};
    for (const auto &field : message) {
        request.fields.add(std::string(field.name_string()), std::string(field.value()));
    }
    return request;
}

Refused refusedFor(const beast::error_code &error)
{
    if (error == bhttp::error::body_limit) {
        return Refused::BodyTooLarge;
    }
    const bool head = error == bhttp::error::header_limit || error == bhttp::error::buffer_overflow;
    return head ? Refused::HeadTooLarge : Refused::Malformed;
}

// Only a client that spoke HTTP badly is told so; one that left or was slow is dropped.
bool isProtocolError(const beast::error_code &error)
{
    return error.category() == bhttp::make_error_code(bhttp::error::bad_method).category()
           && error != bhttp::error::end_of_stream && error != bhttp::error::partial_message;
}

/** One caller's connection. Lives in the coroutine that serves it. */
template <typename SharedPtr>
class Connection
{
public:
    Connection(SharedPtr server, tcp::socket socket)
        : server_(std::move(server))
        , socket_(std::move(socket))
        , limit_(socket_)
        , buffer_(server_->limits.headBytes + server_->limits.bodyBytes)
        , restsSince_(steadyNow())
    {
    }

    asio::awaitable<void> serve()
    {
        beast::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        if (server_->connections > server_->limits.connections) {
            co_await refuse(Refused::TooManyConnections);
            end_.reason = EndReason::Refused;
        } else {
            bool more = true;
            while (more) {
                more = co_await serveOne();
            }
        }
        noteEnd();
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

private:
    void noteEnd()
    {
        end_.unread = limit_.expired().value_or(arrivedAt(socket_.native_handle()));
        end_.rested = std::chrono::duration_cast<kernel::Duration>(steadyNow() - restsSince_);
        server_->ended(end_);
    }

    bool endsFor(EndReason reason)
    {
        end_.reason = reason;
        return false;
    }

    // Waits for the first bytes of the next request. A connection that waits here holds nothing,
    // and a drain may close it at once.
    asio::awaitable<bool> waitForRequest()
    {
        constexpr std::size_t FirstRead = 4096;
        limit_.expireAfter(server_->limits.idleTimeout);
        server_->resting.insert(&socket_);
        const auto [error, bytes] =
                co_await socket_.async_read_some(buffer_.prepare(FirstRead), Quiet);
        server_->resting.erase(&socket_);
        buffer_.commit(bytes);
        if (!error) {
            co_return true;
        }
        if (limit_.expired()) {
            co_return endsFor(EndReason::RestLimit);
        }
        const bool stopped = error == asio::error::operation_aborted;
        co_return endsFor(stopped ? EndReason::Draining : EndReason::CallerClosed);
    }

    asio::awaitable<bool> serveOne()
    {
        Parser parser;
        parser.header_limit(server_->limits.headBytes);
        parser.body_limit(server_->limits.bodyBytes);
        if (buffer_.size() == 0) {
            const bool came = co_await waitForRequest();
            if (!came) {
                co_return false;
            }
        }
        limit_.expireAfter(server_->limits.headTimeout);
        const auto [error, bytes] = co_await bhttp::async_read(socket_, buffer_, parser, Quiet);
        limit_.never();
        if (error) {
            co_return co_await endUnread(error);
        }
        auto message = parser.release();
        if (message.version() < 11) {
            co_await refuse(Refused::Malformed);
            co_return endsFor(EndReason::Refused);
        }
        co_return co_await answer(std::move(message));
    }

    asio::awaitable<bool> endUnread(beast::error_code error)
    {
        if (isProtocolError(error)) {
            co_await refuse(refusedFor(error));
            co_return endsFor(EndReason::Refused);
        }
        co_return endsFor(limit_.expired() ? EndReason::HeadLimit : EndReason::CallerBroke);
    }

    asio::awaitable<bool> answer(bhttp::request<bhttp::string_body> message)
    {
        ReplyForm form;
        form.version = message.version();
        form.keepAlive = message.keep_alive();
        form.headOnly = message.method() == bhttp::verb::head;
        ConnectionReply reply(way(), form);
        ++end_.requests;
        ++server_->active;
        Request request = toRequest(std::move(message));
        co_await server_->handler(std::move(request), reply);
        --server_->active;
        restsSince_ = steadyNow();
        if (!reply.whole()) {
            co_return endsFor(EndReason::Unanswered);
        }
        co_return reply.keepsAlive() || endsFor(EndReason::LastAnswer);
    }

    asio::awaitable<void> refuse(Refused why)
    {
        ConnectionReply reply(way(), ReplyForm());
        Answer told = server_->refusal(why);
        co_await reply.send(std::move(told));
        beast::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        // Closing with unread bytes would reset the connection and take the answer with it, so what
        // the client still sends is read away, a bounded amount in a bounded time.
        constexpr std::size_t MostBytes = 262144;
        std::array<char, 4096> sink{};
        std::size_t read = 0;
        limit_.expireAfter(1s);
        while (read < MostBytes) {
            const auto [error, bytes] = co_await socket_.async_read_some(asio::buffer(sink), Quiet);
            if (error) {
                break;
            }
            read += bytes;
        }
    }

    ReplyWay way() { return {socket_, limit_, server_->limits, server_->closing}; }

    SharedPtr server_;
    tcp::socket socket_;
    TimeLimit limit_;
    beast::flat_buffer buffer_;
    kernel::Instant restsSince_;
    ConnectionEnd end_;
};

template <typename SharedPtr>
asio::awaitable<void> serveConnection(SharedPtr server, tcp::socket socket)
{
    ++server->connections;
    {
        Connection<SharedPtr> connection(server, std::move(socket));
        co_await connection.serve();
    }
    --server->connections;
}

template <typename SharedPtr>
asio::awaitable<void> acceptAll(SharedPtr server)
{
    while (server->acceptor.is_open()) {
        auto [error, socket] = co_await server->acceptor.async_accept(Quiet);
        if (!error) {
            asio::co_spawn(server->io, serveConnection(server, std::move(socket)), asio::detached);
            continue;
        }
        if (!server->acceptor.is_open()) {
            break;
        }
        // Out of file handles, most likely: wait for some to come back rather than spin.
        asio::steady_timer pause(server->io, 50ms);
        co_await pause.async_wait(Quiet);
    }
}

} // namespace

Server::Server(asio::io_context &io, ServerLimits limits, Handler handler)
    : shared_(std::make_shared<Shared>(io, limits, std::move(handler)))
{
}

Server::~Server()
{
    shared_->ended = [](const ConnectionEnd &) {};
    drain();
}

void Server::setRefusal(std::function<Answer(Refused)> refusal)
{
    shared_->refusal = std::move(refusal);
}

void Server::onConnectionEnd(std::function<void(const ConnectionEnd &)> ended)
{
    shared_->ended = std::move(ended);
}

void Server::listen(const kernel::Endpoint &endpoint)
{
    const tcp::endpoint where(asio::ip::make_address(endpoint.address), endpoint.port);
    shared_->acceptor.open(where.protocol());
    shared_->acceptor.set_option(tcp::acceptor::reuse_address(true));
    shared_->acceptor.bind(where);
    shared_->acceptor.listen();
    asio::co_spawn(shared_->io, acceptAll(shared_), asio::detached);
}

void Server::setLimits(ServerLimits limits)
{
    shared_->limits = limits;
}

std::uint16_t Server::port() const
{
    return shared_->acceptor.local_endpoint().port();
}

void Server::drain()
{
    closeAfterAnswers();
    beast::error_code ignored;
    shared_->acceptor.close(ignored);
    for (tcp::socket *socket : shared_->resting) {
        socket->cancel(ignored);
    }
}

void Server::closeAfterAnswers()
{
    shared_->closing = true;
}

std::size_t Server::active() const
{
    return shared_->active;
}

} // namespace limereel::http
