#include "http/Server.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <sys/socket.h>

namespace limereel::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

namespace {

// Errors come back as values: a client that goes away is ordinary.
constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);

template <typename Body>
void copyFields(const Fields &fields, bhttp::response<Body> &head)
{
    for (const auto &[name, value] : fields) {
        head.insert(name, value);
    }
}

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
    tcp::acceptor acceptor;
    std::size_t connections = 0;
    std::size_t active = 0;
    bool closing = false;
    std::set<beast::tcp_stream *> idle; ///< Between two requests; closed at once by a drain.
};

namespace {

/** The reply over one connection. */
class StreamReply : public Reply
{
public:
    StreamReply(beast::tcp_stream &stream, const ServerLimits &limits, unsigned version,
                const bool &closing, bool keepAlive, bool headOnly)
        : stream_(stream)
        , limits_(limits)
        , version_(version)
        , closing_(closing)
        , keepAlive_(keepAlive)
        , headOnly_(headOnly)
        , watch_(std::make_shared<Watch>())
    {
    }

    ~StreamReply() override { watch_->gone = nullptr; }
    StreamReply(const StreamReply &) = delete;
    StreamReply &operator=(const StreamReply &) = delete;

    asio::awaitable<bool> send(Answer answer) override
    {
        begun_ = true;
        bhttp::response<bhttp::string_body> response(static_cast<bhttp::status>(answer.status),
                                                     version_);
        copyFields(answer.fields, response);
        if (!headOnly_) {
            response.body() = std::move(answer.body);
        }
        response.keep_alive(keepsAlive());
        response.prepare_payload();
        stream_.expires_after(limits_.writeTimeout);
        const auto [error, bytes] = co_await bhttp::async_write(stream_, response, Quiet);
        whole_ = !error;
        co_return whole_;
    }

    asio::awaitable<bool> begin(int status, Fields fields) override
    {
        begun_ = true;
        bhttp::response<bhttp::empty_body> response(static_cast<bhttp::status>(status), version_);
        copyFields(fields, response);
        // A client of HTTP/1.0 knows no chunks; the end of the connection would look whole to it.
        // It is refused before it gets here.
        response.chunked(true);
        response.keep_alive(keepsAlive());
        bhttp::response_serializer<bhttp::empty_body> serializer(response);
        stream_.expires_after(limits_.writeTimeout);
        const auto [error, bytes] = co_await bhttp::async_write_header(stream_, serializer, Quiet);
        co_return !error;
    }

    asio::awaitable<bool> write(std::string_view part) override
    {
        if (part.empty()) {
            co_return true;
        }
        stream_.expires_after(limits_.writeTimeout);
        const auto chunk = bhttp::make_chunk(asio::const_buffer(part.data(), part.size()));
        const auto [error, bytes] = co_await asio::async_write(stream_, chunk, Quiet);
        co_return !error;
    }

    asio::awaitable<bool> finish() override
    {
        stream_.expires_after(limits_.writeTimeout);
        const auto [error, bytes] =
                co_await asio::async_write(stream_, bhttp::make_chunk_last(), Quiet);
        whole_ = !error;
        co_return whole_;
    }

    bool clientGone() override
    {
        char byte = 0;
        const auto peeked =
                ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool begun() const override { return begun_; }
    bool whole() const { return whole_; }
    bool keepsAlive() const { return keepAlive_ && !closing_; }
    void closeAfter() override { keepAlive_ = false; }

    void watchClient(std::function<void()> gone) override
    {
        watch_->gone = std::move(gone);
        stream_.socket().async_wait(tcp::socket::wait_read,
                                    [this, watch = watch_](boost::system::error_code) {
                                        if (watch->gone && clientGone()) {
                                            const auto call = std::move(watch->gone);
                                            watch->gone = nullptr;
                                            call();
                                        }
                                    });
    }

private:
    /** What a wait holds that may outlast the reply. */
    struct Watch
    {
        std::function<void()> gone; ///< Empty once the reply is over.
    };

    beast::tcp_stream &stream_;
    const ServerLimits &limits_;
    unsigned version_;
    const bool &closing_; ///< Of the server: each answer closes its connection.
    bool keepAlive_;
    bool headOnly_; ///< The request was a HEAD: the answer has no body.
    std::shared_ptr<Watch> watch_;
    bool begun_ = false;
    bool whole_ = false;
};

} // namespace

namespace {

using Parser = bhttp::request_parser<bhttp::string_body>;

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

template <typename SharedPtr>
asio::awaitable<void> refuse(SharedPtr server, beast::tcp_stream &stream, Refused why)
{
    StreamReply reply(stream, server->limits, 11, server->closing, false, false);
    co_await reply.send(server->refusal(why));
    beast::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    // Closing with unread bytes would reset the connection and take the answer with it, so what the
    // client still sends is read away, a bounded amount in a bounded time.
    constexpr std::size_t MostBytes = 262144;
    std::array<char, 4096> sink{};
    std::size_t read = 0;
    stream.expires_after(1s);
    while (read < MostBytes) {
        const auto [error, bytes] = co_await stream.async_read_some(asio::buffer(sink), Quiet);
        if (error) {
            break;
        }
        read += bytes;
    }
}

// Waits for the first bytes of the next request. A connection that waits here holds nothing, and
// a drain may close it at once.
template <typename SharedPtr>
asio::awaitable<bool> waitForRequest(SharedPtr server, beast::tcp_stream &stream,
                                     beast::flat_buffer &buffer)
{
    constexpr std::size_t FirstRead = 4096;
    stream.expires_after(server->limits.idleTimeout);
    server->idle.insert(&stream);
    const auto [error, bytes] = co_await stream.async_read_some(buffer.prepare(FirstRead), Quiet);
    server->idle.erase(&stream);
    buffer.commit(bytes);
    co_return !error;
}

template <typename SharedPtr>
asio::awaitable<bool> serveOne(SharedPtr server, beast::tcp_stream &stream,
                               beast::flat_buffer &buffer)
{
    Parser parser;
    parser.header_limit(server->limits.headBytes);
    parser.body_limit(server->limits.bodyBytes);
    if (buffer.size() == 0) {
        const bool came = co_await waitForRequest(server, stream, buffer);
        if (!came) {
            co_return false;
        }
    }
    stream.expires_after(server->limits.headTimeout);
    const auto [error, bytes] = co_await bhttp::async_read(stream, buffer, parser, Quiet);
    if (error) {
        if (isProtocolError(error)) {
            co_await refuse(server, stream, refusedFor(error));
        }
        co_return false;
    }
    auto message = parser.release();
    if (message.version() < 11) {
        co_await refuse(server, stream, Refused::Malformed);
        co_return false;
    }
    const bool headOnly = message.method() == bhttp::verb::head;
    StreamReply reply(stream, server->limits, message.version(), server->closing,
                      message.keep_alive(), headOnly);
    ++server->active;
    stream.expires_never();
    co_await server->handler(toRequest(std::move(message)), reply);
    --server->active;
    co_return reply.keepsAlive() && reply.whole();
}

template <typename SharedPtr>
asio::awaitable<void> serveConnection(SharedPtr server, tcp::socket socket)
{
    ++server->connections;
    beast::tcp_stream stream(std::move(socket));
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    if (server->connections > server->limits.connections) {
        co_await refuse(server, stream, Refused::TooManyConnections);
    } else {
        beast::flat_buffer buffer(server->limits.headBytes + server->limits.bodyBytes);
        bool more = true;
        while (more) {
            more = co_await serveOne(server, stream, buffer);
        }
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
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
    drain();
}

void Server::setRefusal(std::function<Answer(Refused)> refusal)
{
    shared_->refusal = std::move(refusal);
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
    for (beast::tcp_stream *stream : shared_->idle) {
        stream->cancel();
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
