#include "http/Client.h"

#include "http/BoundedSource.h"
#include "http/ResponseEnd.h"
#include "http/Status.h"
#include "http/TimeLimit.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace limereel::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using outcome::FailurePoint;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PartBytes = 16384;

bhttp::request<bhttp::string_body> toMessage(const kernel::Endpoint &endpoint, Request request)
{
    bhttp::request<bhttp::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(bhttp::field::host, kernel::text(endpoint));
    for (const auto &[name, value] : request.fields) {
        message.insert(name, value);
    }
    message.body() = std::move(request.body);
    message.keep_alive(false);
    message.prepare_payload();
    return message;
}

} // namespace

struct Stream::Connection
{
    explicit Connection(asio::io_context &io)
        : socket(io)
        , source(socket)
        , limit(socket)
    {
        parser.header_limit(MaxHeadBytes);
        parser.body_limit(boost::none);
    }

    CallFailure failure(FailurePoint point, beast::error_code error) const
    {
        // The limit closes the socket, so the operation itself only says that it was cancelled.
        const bool timedOut = limit.expired().has_value();
        if (timedOut) {
            error = beast::error::timeout;
        }
        const auto passed = passedBy(error, !parser.is_header_done());
        return {point, timedOut, passed ? tooLong(*passed) : error.message(), passed};
    }

    tcp::socket socket;
    BoundedSource source;
    TimeLimit limit;
    beast::flat_buffer buffer;
    bhttp::response_parser<bhttp::buffer_body> parser;
    CallTimeouts timeouts;
    CallBytes bytes;
};

Stream::Stream(std::unique_ptr<Connection> connection)
    : connection_(std::move(connection))
{
}

Stream::Stream(Stream &&) noexcept = default;
Stream &Stream::operator=(Stream &&) noexcept = default;
Stream::~Stream() = default;

asio::awaitable<tl::expected<Stream, CallFailure>> Stream::open(asio::io_context &io,
                                                                kernel::Endpoint endpoint,
                                                                Request request,
                                                                CallTimeouts timeouts)
{
    auto connection = std::make_unique<Connection>(io);
    connection->timeouts = timeouts;
    tcp::socket &socket = connection->socket;
    TimeLimit &limit = connection->limit;
    beast::error_code bad;
    const auto address = asio::ip::make_address(endpoint.address, bad);
    if (bad) {
        co_return tl::unexpected(connection->failure(FailurePoint::BeforeConnect, bad));
    }
    const tcp::endpoint server(address, endpoint.port);
    limit.expireAfter(timeouts.connect, Awaited::Room);
    const auto [connectError] = co_await socket.async_connect(server, Quiet);
    if (connectError) {
        co_return tl::unexpected(connection->failure(FailurePoint::BeforeConnect, connectError));
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    // The answer to a HEAD has the length of a body that doesn't come.
    connection->parser.skip(request.method == "HEAD");
    auto message = toMessage(endpoint, std::move(request));
    limit.expireAfter(timeouts.head, Awaited::Room);
    const auto [writeError, sent] = co_await bhttp::async_write(socket, message, Quiet);
    connection->bytes.sent = sent;
    if (writeError) {
        const FailurePoint point =
                sent == 0 ? FailurePoint::ConnectedUnsent : FailurePoint::PartSent;
        co_return tl::unexpected(connection->failure(point, writeError));
    }
    limit.nowAwait(Awaited::Bytes);
    connection->source.allow(MaxHeadBytes);
    const auto [headError, headBytes] = co_await bhttp::async_read_header(
            connection->source, connection->buffer, connection->parser, Quiet);
    limit.never();
    connection->bytes.received = headBytes;
    if (headError) {
        co_return tl::unexpected(connection->failure(FailurePoint::AllSent, headError));
    }
    if (!isStatus(static_cast<int>(connection->parser.get().result_int()))) {
        co_return tl::unexpected(CallFailure{FailurePoint::AnswerBegun, false, NoStatus});
    }
    co_return Stream(std::move(connection));
}

int Stream::status() const
{
    return static_cast<int>(connection_->parser.get().result_int());
}

std::string Stream::field(std::string_view name) const
{
    const auto &head = connection_->parser.get();
    const auto place = head.find(name);
    return place == head.end() ? std::string() : std::string(place->value());
}

Fields Stream::fields() const
{
    Fields fields;
    for (const auto &field : connection_->parser.get()) {
        fields.add(std::string(field.name_string()), std::string(field.value()));
    }
    return fields;
}

asio::awaitable<tl::expected<BodyPart, CallFailure>> Stream::read()
{
    Connection &connection = *connection_;
    std::string part;
    while (part.empty() && !connection.parser.is_done()) {
        part.resize(PartBytes);
        auto &body = connection.parser.get().body();
        body.data = part.data();
        body.size = part.size();
        body.more = true;
        connection.limit.expireAfter(connection.timeouts.part);
        connection.source.allow(MaxFramingBytes);
        const auto [error, bytes] = co_await bhttp::async_read_some(
                connection.source, connection.buffer, connection.parser, Quiet);
        connection.limit.never();
        connection.bytes.received += bytes;
        part.resize(PartBytes - body.size);
        if (error && error != bhttp::error::need_buffer) {
            if (part.empty()) {
                co_return tl::unexpected(connection.failure(FailurePoint::AnswerBegun, error));
            }
            // What came before the failure counts; the next read meets the failure again.
            break;
        }
    }
    if (part.empty()) {
        co_return BodyPart{{}, endOf(connection.parser)};
    }
    co_return BodyPart{std::move(part), {}};
}

CallBytes Stream::bytes() const
{
    return connection_->bytes;
}

asio::awaitable<tl::expected<Answer, CallFailure>> call(asio::io_context &io,
                                                        kernel::Endpoint endpoint, Request request,
                                                        CallTimeouts timeouts,
                                                        std::size_t mostBytes)
{
    auto stream = co_await Stream::open(io, std::move(endpoint), std::move(request), timeouts);
    if (!stream) {
        co_return tl::unexpected(stream.error());
    }
    Answer answer(stream->status());
    const Fields head = stream->fields();
    for (const char *name :
         {"Content-Type", "Date", "Retry-After", "X-Request-Id", "X-Not-Started", "X-Version"}) {
        for (const std::string_view value : head.all(name)) {
            answer.fields.add(name, std::string(value));
        }
    }
    while (true) {
        auto part = co_await stream->read();
        if (!part) {
            co_return tl::unexpected(part.error());
        }
        if (part->end) {
            answer.endMarked = isMarked(*part->end);
            break;
        }
        answer.body += part->bytes;
        if (answer.body.size() > mostBytes) {
            co_return tl::unexpected(CallFailure{FailurePoint::AnswerBegun, false,
                                                 tooLong(AnswerBound::Body, mostBytes),
                                                 AnswerBound::Body});
        }
    }
    co_return answer;
}

} // namespace limereel::http
