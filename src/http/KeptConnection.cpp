#include "http/KeptConnection.h"

#include "http/BodyBlocks.h"
#include "http/BoundedSource.h"
#include "http/ResponseEnd.h"
#include "http/SocketState.h"
#include "http/Status.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <optional>

namespace limereel::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using outcome::FailurePoint;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PartBytes = 8192;
// A peer without power acknowledges nothing; the kernel then gives the connection up.
constexpr int UnacknowledgedMilliseconds = 2000;

using Parser = bhttp::response_parser<bhttp::buffer_body>;
using Message = bhttp::request<bhttp::string_body>;

std::optional<CallFailure> bodyTooLong(std::size_t mostBytes)
{
    return CallFailure{FailurePoint::AnswerBegun, false, tooLong(AnswerBound::Body, mostBytes),
                       AnswerBound::Body};
}

Message toMessage(Request request)
{
    Message message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    for (const auto &[name, value] : request.fields) {
        message.insert(name, value);
    }
    message.body() = std::move(request.body);
    const bool traced = message.method() == bhttp::verb::trace && !message.body().empty();
    if (traced) {
        // The library's own way throws; what a caller has sent goes on as it came.
        message.content_length(message.body().size());
    } else {
        message.prepare_payload();
    }
    return message;
}

} // namespace

struct KeptConnection::State
{
    explicit State(asio::io_context &io)
        : socket(io)
        , source(socket)
    {
    }

    /** The time to connect is over. */
    void endConnecting();

    tcp::socket socket;
    BoundedSource source;
    beast::flat_buffer buffer;
    std::optional<Message> message;
    std::optional<Parser> parser;
    std::uint64_t read = 0; ///< Bytes of all answers so far.
    bool connected = false;
    bool connectedLate = false;
    bool headRequest = false;
    bool sending = false;
    bool reading = false;
    bool anySent = false;
    bool failed = false;
};

// The connection may have come about while the process stood still, and the loop then says so after
// it has handled the timer.
void KeptConnection::State::endConnecting()
{
    connectedLate = socket.is_open() && connectIsOver(socket.native_handle());
    if (!connectedLate) {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
}

KeptConnection::KeptConnection(asio::io_context &io)
    : state_(std::make_shared<State>(io))
{
}

CallFailure KeptConnection::failure(const boost::system::error_code &error) const
{
    FailurePoint point = FailurePoint::AllSent;
    const bool headDone = state_->parser && state_->parser->is_header_done();
    if (headDone) {
        point = FailurePoint::AnswerBegun;
    } else if (!state_->sending && !state_->anySent) {
        point = FailurePoint::ConnectedUnsent;
    }
    const auto passed = passedBy(error, !headDone);
    return {point, false, passed ? tooLong(*passed) : error.message(), passed};
}

asio::awaitable<tl::expected<KeptConnection::Ptr, CallFailure>>
KeptConnection::connect(asio::io_context &io, kernel::Endpoint endpoint, kernel::Duration longest)
{
    Ptr connection(new KeptConnection(io));
    boost::system::error_code bad;
    const auto address = asio::ip::make_address(endpoint.address, bad);
    if (bad) {
        co_return tl::unexpected(CallFailure{FailurePoint::BeforeConnect, false, bad.message()});
    }
    asio::steady_timer timer(io, longest);
    timer.async_wait([state = connection->state_](boost::system::error_code stopped) {
        if (!stopped && !state->connected) {
            state->endConnecting();
        }
    });
    tcp::socket &socket = connection->state_->socket;
    const tcp::endpoint where(address, endpoint.port);
    const auto [error] = co_await socket.async_connect(where, Quiet);
    connection->state_->connected = !error;
    timer.cancel();
    if (error || !socket.is_open()) {
        const bool timedOut = error == asio::error::operation_aborted;
        co_return tl::unexpected(
                CallFailure{FailurePoint::BeforeConnect, timedOut, error.message()});
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                              UnacknowledgedMilliseconds),
                      ignored);
    co_return connection;
}

bool KeptConnection::connectedLate() const
{
    return state_->connectedLate;
}

void KeptConnection::send(Request request)
{
    State &state = *state_;
    state.headRequest = request.method == "HEAD";
    state.message.emplace(toMessage(std::move(request)));
    state.sending = true;
    state.anySent = false;
    state.parser.reset();
    bhttp::async_write(state.socket, *state.message,
                       [state = state_](boost::system::error_code error, std::size_t bytes) {
                           state->sending = false;
                           state->anySent = bytes > 0;
                           state->failed = state->failed || error;
                           state->message.reset();
                       });
}

asio::awaitable<tl::expected<AnswerStart, CallFailure>> KeptConnection::readHead()
{
    const std::shared_ptr<State> state = state_;
    state->parser.emplace();
    state->parser->body_limit(boost::none);
    state->parser->header_limit(MaxHeadBytes);
    state->parser->skip(state->headRequest);
    state->reading = true;
    state->source.allow(MaxHeadBytes);
    const auto [error, bytes] =
            co_await bhttp::async_read_header(state->source, state->buffer, *state->parser, Quiet);
    state->reading = false;
    state->read += bytes;
    if (error) {
        state->failed = true;
        co_return tl::unexpected(failure(error));
    }
    AnswerStart start;
    const auto &head = state->parser->get();
    start.status = static_cast<int>(head.result_int());
    if (!isStatus(start.status)) {
        state->failed = true;
        co_return tl::unexpected(CallFailure{FailurePoint::AnswerBegun, false, NoStatus});
    }
    for (const auto &field : head) {
        start.fields.add(std::string(field.name_string()), std::string(field.value()));
    }
    co_return start;
}

asio::awaitable<tl::expected<BodyPart, CallFailure>> KeptConnection::readPart()
{
    const std::shared_ptr<State> state = state_;
    std::string part;
    while (part.empty() && !state->parser->is_done()) {
        part.resize(PartBytes);
        auto &body = state->parser->get().body();
        body.data = part.data();
        body.size = part.size();
        body.more = true;
        state->reading = true;
        state->source.allow(MaxFramingBytes);
        const auto [error, bytes] = co_await bhttp::async_read_some(state->source, state->buffer,
                                                                    *state->parser, Quiet);
        state->reading = false;
        state->read += bytes;
        part.resize(PartBytes - body.size);
        if (error && error != bhttp::error::need_buffer) {
            state->failed = true;
            if (part.empty()) {
                co_return tl::unexpected(failure(error));
            }
            // What came before the failure counts; the next read meets the failure again.
            break;
        }
    }
    if (!part.empty()) {
        co_return BodyPart{std::move(part), {}};
    }
    const BodyEnd end = endOf(*state->parser);
    // The reset may have been taken by the write, and the read then finds an orderly end.
    if (!isMarked(end) && (state->sending || state->failed)) {
        state->failed = true;
        co_return tl::unexpected(CallFailure{FailurePoint::AnswerBegun, false,
                                             "it ended while the request was being sent"});
    }
    co_return BodyPart{{}, end};
}

asio::awaitable<tl::expected<Body, CallFailure>> KeptConnection::readAll(std::size_t mostBytes,
                                                                         Hold hold)
{
    BodyBlocks blocks;
    std::size_t bytes = 0;
    while (true) {
        auto part = co_await readPart();
        if (!part) {
            co_return tl::unexpected(part.error());
        }
        if (part->end) {
            co_return Body{blocks.join(), *part->end};
        }
        bytes += part->bytes.size();
        blocks.append(part->bytes);
        auto failure = bytes > mostBytes ? bodyTooLong(mostBytes) : hold(blocks.held());
        if (failure) {
            state_->failed = true;
            co_return tl::unexpected(std::move(*failure));
        }
    }
}

asio::awaitable<tl::expected<Body, CallFailure>> KeptConnection::readAll(std::size_t mostBytes)
{
    const auto anyBytes = [](std::size_t) -> std::optional<CallFailure> { return std::nullopt; };
    return readAll(mostBytes, anyBytes);
}

void KeptConnection::close()
{
    state_->failed = true;
    boost::system::error_code ignored;
    state_->socket.close(ignored);
}

bool KeptConnection::reusable() const
{
    const State &state = *state_;
    const bool idle = !state.failed && !state.sending && state.socket.is_open();
    return idle && state.parser && state.parser->is_done() && state.parser->get().keep_alive()
           && !state.parser->need_eof() && state.buffer.size() == 0;
}

bool KeptConnection::quiet() const
{
    return arrivedAt(state_->socket.native_handle()) == Arrived::Nothing;
}

std::optional<kernel::Duration> KeptConnection::rested() const
{
    return sinceLastBytes(state_->socket.native_handle());
}

Heard KeptConnection::heard() const
{
    // What lies in the buffer was taken from the socket together with what came before it.
    const bool buffered = state_->buffer.size() > 0;
    return {state_->read, buffered ? Arrived::Bytes : arrivedAt(state_->socket.native_handle())};
}

bool KeptConnection::answerWaits() const
{
    const bool buffered = state_->buffer.size() > 0 && !state_->reading;
    return buffered || !quiet();
}

std::uint64_t KeptConnection::taken() const
{
    return state_->read + state_->buffer.size();
}

} // namespace limereel::http
