#include "http/Server.h"

#include "http/ConnectionReply.h"
#include "http/Counted.h"
#include "http/RequestReader.h"
#include "http/Rest.h"
#include "http/SteadyClock.h"
#include "http/TimeLimit.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>
#include <vector>

namespace limereel::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

namespace {

// Errors come back as values: a client that goes away is ordinary.
constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);

/** A limit of rests that was lowered. */
struct FormerLimit
{
    kernel::Duration idleTimeout;
    kernel::Instant until; ///< All callers know of the lower one then.
};

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

    // Callers may take up a connection by the limit that they know. One that was lowered counts
    // only once all of them can have learned of it.
    kernel::Duration restLimit() const
    {
        kernel::Duration longest = limits.idleTimeout;
        for (const FormerLimit &former : formerLimits) {
            if (steadyNow() < former.until) {
                longest = std::max(longest, former.idleTimeout);
            }
        }
        return longest;
    }

    void noteLowered(const ServerLimits &next)
    {
        const kernel::Instant now = steadyNow();
        std::erase_if(formerLimits, [&](const FormerLimit &former) { return now >= former.until; });
        if (next.idleTimeout < limits.idleTimeout) {
            formerLimits.push_back({limits.idleTimeout, now + next.idleNotice});
        }
    }

    void extendRests()
    {
        for (Rest *rest : rests) {
            rest->extendTo(limits.idleTimeout);
        }
    }

    asio::io_context &io;
    ServerLimits limits;
    std::shared_ptr<ByteBudget> budget =
            std::make_shared<ByteBudget>(std::numeric_limits<std::size_t>::max());
    std::vector<FormerLimit> formerLimits; ///< Each counts until its own time.
    Handler handler;
    std::function<Answer(Refused)> refusal = [](Refused) { return Answer(400); };
    std::function<void(const ConnectionEnd &)> ended = [](const ConnectionEnd &) {};
    tcp::acceptor acceptor;
    std::size_t connections = 0;
    std::size_t active = 0;    ///< Requests of which a part has been read.
    std::size_t beginning = 0; ///< Taken by a drain, not served yet.
    bool closing = false;      ///< Each answer closes its connection.
    bool draining = false;     ///< No connection rests any more.
    Rests rests;
};

namespace {

/** One caller's connection. Lives in the coroutine that serves it. */
template <typename SharedPtr>
class Connection
{
public:
    Connection(SharedPtr server, tcp::socket socket)
        : server_(std::move(server))
        , socket_(std::move(socket))
        , limit_(socket_)
        , buffer_(bufferBytes(server_->limits))
        , restsSince_(steadyNow())
    {
    }

    asio::awaitable<void> serve()
    {
        beast::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        try {
            co_await serveAll();
        } catch (const std::exception &fault) {
            // Nobody else would hear of it.
            end_.reason = EndReason::RunFailed;
            end_.fault = fault.what();
        }
        noteEnd();
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

private:
    asio::awaitable<void> serveAll()
    {
        if (server_->connections > server_->limits.connections) {
            co_await refuse(Refused::TooManyConnections);
            end_.reason = EndReason::Refused;
            co_return;
        }
        bool more = true;
        while (more) {
            more = co_await serveOne();
        }
    }

    void noteEnd()
    {
        end_.unread = limit_.expired().value_or(arrivedAt(socket_.native_handle()));
        end_.lateLooks = limit_.lateLooks();
        end_.rested = steadyNow() - restsSince_;
        server_->ended(end_);
    }

    bool endsFor(EndReason reason)
    {
        end_.reason = reason;
        return false;
    }

    // Waits for the first bytes of the next request.
    asio::awaitable<bool> waitForRequest()
    {
        if (server_->draining && toldRest_ > kernel::Duration(0)) {
            co_return co_await waitForPromised();
        }
        // What the caller was told holds, also if the limit was lowered while it got its answer.
        const kernel::Duration longest = std::max(server_->restLimit(), toldRest_);
        Rest rest(server_->rests, socket_, limit_, longest);
        while (!server_->draining || rest.hasRequest()) {
            const beast::error_code error = co_await readFirst();
            if (limit_.expired()) {
                co_return endsFor(EndReason::RestLimit);
            }
            if (!error) {
                co_return true;
            }
            // A drain ends the wait. A request may have arrived since it looked.
            if (error != asio::error::operation_aborted) {
                co_return endsFor(EndReason::CallerClosed);
            }
        }
        co_return endsFor(EndReason::Draining);
    }

    // The head of a stream that began before the drain has said that the connection stays open. A
    // caller that has its next request ready sends it at once: without this wait the close crosses
    // that request, one of one, and nobody answers it.
    asio::awaitable<bool> waitForPromised()
    {
        const Counted active(server_->active);
        limit_.expireAfter(server_->limits.restInDrain);
        const beast::error_code error = co_await readFirst();
        if (limit_.expired()) {
            co_return endsFor(EndReason::Draining);
        }
        co_return !error || endsFor(EndReason::CallerClosed);
    }

    asio::awaitable<beast::error_code> readFirst()
    {
        constexpr std::size_t MostBytes = 4096;
        fitBuffer();
        const std::size_t most = std::min(MostBytes, buffer_.max_size());
        const auto [error, bytes] = co_await socket_.async_read_some(buffer_.prepare(most), Quiet);
        buffer_.commit(bytes);
        co_return error;
    }

    // The limits of now count, not those of when the connection was opened.
    void fitBuffer() { buffer_.max_size(std::max(bufferBytes(server_->limits), buffer_.size())); }

    asio::awaitable<bool> serveOne()
    {
        if (buffer_.size() == 0) {
            const bool came = co_await waitForRequest();
            if (!came) {
                co_return false;
            }
        }
        const Counted active(server_->active);
        co_return co_await readAndAnswer();
    }

    asio::awaitable<bool> readAndAnswer()
    {
        fitBuffer();
        const kernel::Instant begun = steadyNow();
        ByteBudget::Share share(server_->budget, [this] { cancelReads(); });
        limit_.expireAfter(server_->limits.headTimeout);
        RequestRead read = co_await readRequest(socket_, buffer_, server_->limits, share);
        limit_.never();
        // The limit may close the connection between the read of the request's end and its
        // handling; the request would run for nobody.
        if (!read.request || limit_.expired()) {
            end_.reading = steadyNow() - begun;
            end_.readBytes = read.bytes;
            co_return co_await endUnread(read.refused);
        }
        const bool more = co_await answer(std::move(*read.request), read.form);
        if (buffer_.size() == 0) {
            buffer_.shrink_to_fit();
        }
        co_return more;
    }

    void cancelReads()
    {
        beast::error_code ignored;
        socket_.cancel(ignored);
    }

    asio::awaitable<bool> endUnread(std::optional<Refused> refused)
    {
        if (refused && !limit_.expired()) {
            co_await refuse(*refused);
            co_return endsFor(EndReason::Refused);
        }
        co_return endsFor(limit_.expired() ? EndReason::HeadLimit : EndReason::CallerBroke);
    }

    asio::awaitable<bool> answer(Request request, ReplyForm form)
    {
        ConnectionReply reply(way(), form);
        ++end_.requests;
        const std::exception_ptr fault = co_await handle(std::move(request), reply);
        restsSince_ = steadyNow();
        if (fault) {
            co_await tellFault(reply);
            std::rethrow_exception(fault);
        }
        if (!reply.whole()) {
            co_return endsFor(EndReason::Unanswered);
        }
        toldRest_ = reply.toldRest();
        co_return reply.keptOpen() || endsFor(EndReason::LastAnswer);
    }

    asio::awaitable<std::exception_ptr> handle(Request request, Reply &reply)
    {
        try {
            co_await server_->handler(std::move(request), reply);
        } catch (...) {
            co_return std::current_exception();
        }
        co_return nullptr;
    }

    // The request may have run, which a connection that is closed with no answer doesn't say.
    asio::awaitable<void> tellFault(Reply &reply)
    {
        constexpr int InternalError = 500;
        if (!reply.begun()) {
            reply.closeAfter();
            Answer answer(InternalError);
            co_await reply.send(std::move(answer));
        }
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
    kernel::Duration toldRest_{}; ///< How long the caller was last told that it may rest.
    ConnectionEnd end_;
};

template <typename SharedPtr>
asio::awaitable<void> serveConnection(SharedPtr server, tcp::socket socket)
{
    const Counted counted(server->connections);
    Connection<SharedPtr> connection(server, std::move(socket));
    co_await connection.serve();
}

template <typename SharedPtr>
asio::awaitable<void> serveFirst(SharedPtr server, tcp::socket socket)
{
    --server->beginning;
    co_await serveConnection(server, std::move(socket));
}

// Connections that the operating system has taken and the loop hasn't: closing the listener would
// reset them. The ones with a request on them are served; the others may go elsewhere.
template <typename SharedPtr>
void takeWaiting(SharedPtr server)
{
    boost::system::error_code error;
    server->acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(server->io);
        server->acceptor.accept(socket, error);
        if (!error && arrivedAt(socket.native_handle()) == Arrived::Bytes) {
            ++server->beginning;
            asio::co_spawn(server->io, serveFirst(server, std::move(socket)), asio::detached);
        }
    }
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

void Server::setBudget(std::shared_ptr<ByteBudget> budget)
{
    shared_->budget = std::move(budget);
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
    shared_->noteLowered(limits);
    shared_->limits = limits;
    shared_->extendRests();
}

std::uint16_t Server::port() const
{
    return shared_->acceptor.local_endpoint().port();
}

void Server::drain()
{
    closeAfterAnswers();
    shared_->draining = true;
    beast::error_code ignored;
    if (shared_->acceptor.is_open()) {
        takeWaiting(shared_);
        shared_->acceptor.close(ignored);
    }
    for (Rest *rest : shared_->rests) {
        // A request that has arrived and isn't read yet is answered: closing would lose it.
        if (!rest->hasRequest()) {
            rest->cancel();
        }
    }
}

void Server::closeAfterAnswers()
{
    shared_->closing = true;
}

std::size_t Server::active() const
{
    const auto waiting = std::ranges::count_if(shared_->rests,
                                               [](const Rest *rest) { return rest->hasRequest(); });
    return shared_->active + shared_->beginning + static_cast<std::size_t>(waiting);
}

} // namespace limereel::http
