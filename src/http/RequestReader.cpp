#include "http/RequestReader.h"

#include "http/AnswerBound.h"
#include "http/BodyBlocks.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace limereel::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

namespace {

using Parser = bhttp::request_parser<bhttp::buffer_body>;
using Head = bhttp::request_header<>;

// Errors come back as values: a client that goes away is ordinary.
constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);

// Beast holds no longer field, and says so by an exception that would end the process.
constexpr std::uint32_t MostHeadBytes = 65535;

// The parser holds each field by itself: links, an offset, two lengths, and the allocator's own.
constexpr std::size_t BytesPerField = 96;

// The shortest field has a letter, a colon and the end of its line.
constexpr std::size_t ShortestField = 4;

// Once by the parser or the request, once in what is sent on.
constexpr std::size_t CopiesWhileServed = 2;

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

// Whether all on the way agree where the body ends: by one length, or by chunks and nothing else.
// The parser takes any other transfer coding for no body, and what follows for the next request.
bool framingIsClear(const Head &message)
{
    const auto codings = message.count(bhttp::field::transfer_encoding);
    const auto lengths = message.count(bhttp::field::content_length);
    if (codings == 0) {
        return lengths <= 1;
    }
    return codings == 1 && lengths == 0
           && beast::iequals(message[bhttp::field::transfer_encoding], "chunked");
}

/** What a request that is being read holds. */
class HeldBytes
{
public:
    /** Counts \a more bytes that the parser was given. */
    void noteRead(const Parser &parser, std::size_t more)
    {
        if (headKnown_) {
            return;
        }
        headBytes_ += more;
        std::size_t fields = headBytes_ / ShortestField;
        if (parser.is_header_done()) {
            const Head &head = parser.get();
            fields = static_cast<std::size_t>(std::distance(head.begin(), head.end()));
            headKnown_ = true;
        }
        head_ = headBytes_ + fields * BytesPerField;
    }

    std::size_t inReading(const beast::flat_buffer &buffer, const BodyBlocks &body) const
    {
        return buffer.capacity() + head_ + body.held();
    }

    std::size_t whileServed(const beast::flat_buffer &buffer, const Request &request) const
    {
        return buffer.capacity() + CopiesWhileServed * (head_ + request.body.size());
    }

private:
    bool headKnown_ = false;
    std::size_t headBytes_ = 0;
    std::size_t head_ = 0; ///< With what its fields take.
};

RequestRead refusal(Refused why, std::size_t bytes)
{
    RequestRead read;
    read.refused = why;
    read.bytes = bytes;
    return read;
}

RequestRead brokenOff(const beast::error_code &error, std::size_t bytes)
{
    RequestRead read;
    read.refused = isProtocolError(error) ? std::optional(refusedFor(error)) : std::nullopt;
    read.bytes = bytes;
    return read;
}

Request toRequest(const Head &head, std::string body)
{
    Request request{
            std::string(head.method_string()), std::string(head.target()), {}, std::move(body)};
    for (const auto &field : head) {
        request.fields.add(std::string(field.name_string()), std::string(field.value()));
    }
    return request;
}

ReplyForm formOf(const Parser &parser)
{
    ReplyForm form;
    form.version = parser.get().version();
    form.keepAlive = parser.get().keep_alive();
    form.headOnly = parser.get().method() == bhttp::verb::head;
    return form;
}

/** One request on its way. */
class RequestReading
{
public:
    RequestReading(tcp::socket &socket, beast::flat_buffer &buffer, const ServerLimits &limits,
                   ByteBudget::Share &share)
        : socket_(socket)
        , buffer_(buffer)
        , share_(share)
    {
        parser_.header_limit(std::min(limits.headBytes, MostHeadBytes));
        parser_.body_limit(limits.bodyBytes);
        parser_.eager(true);
    }

    asio::awaitable<RequestRead> read()
    {
        while (!parser_.is_done()) {
            beast::error_code error = parse();
            if (error == bhttp::error::need_more) {
                error = co_await receive();
            }
            if (share_.gaveWay()) {
                co_return refusal(Refused::NoRoom, bytes());
            }
            if (error) {
                co_return brokenOff(error, bytes());
            }
            if (!share_.resize(held_.inReading(buffer_, body_))) {
                co_return refusal(Refused::NoRoom, bytes());
            }
        }
        co_return whole();
    }

private:
    std::size_t bytes() const { return read_ + buffer_.size(); }

    // Gives the parser what has come. The library's own reads go on until a head is whole, and
    // would count its fields only then.
    beast::error_code parse()
    {
        if (buffer_.size() == 0) {
            return bhttp::error::need_more;
        }
        auto &body = parser_.get().body();
        // Until the head is known there is no place for a body, so that one gets the room it needs.
        const bool headWasDone = parser_.is_header_done();
        body.data = headWasDone ? body_.next() : nullptr;
        body.size = headWasDone ? body_.room() : 0;
        body.more = true;
        const std::size_t room = body.size;
        beast::error_code error;
        const std::size_t used = parser_.put(buffer_.data(), error);
        buffer_.consume(used);
        read_ += used;
        held_.noteRead(parser_, used);
        if (headWasDone) {
            body_.noteFilled(room - parser_.get().body().size);
        } else if (const auto length = parser_.content_length()) {
            body_ = BodyBlocks(*length);
        }
        const bool goesOn = error == bhttp::error::need_buffer
                            || (error == bhttp::error::need_more && used > 0);
        return goesOn ? beast::error_code() : error;
    }

    asio::awaitable<beast::error_code> receive()
    {
        if (buffer_.size() >= buffer_.max_size()) {
            co_return bhttp::error::buffer_overflow;
        }
        const std::size_t most =
                std::min(BodyBlocks::BlockBytes, buffer_.max_size() - buffer_.size());
        const auto [error, bytes] = co_await socket_.async_read_some(buffer_.prepare(most), Quiet);
        buffer_.commit(bytes);
        co_return error;
    }

    RequestRead whole()
    {
        const Head &head = parser_.get();
        if (head.version() < 11 || !framingIsClear(head)) {
            return refusal(Refused::Malformed, read_);
        }
        RequestRead read;
        read.bytes = read_;
        read.form = formOf(parser_);
        read.request = toRequest(head, body_.join());
        if (!share_.resize(held_.whileServed(buffer_, *read.request))) {
            return refusal(Refused::NoRoom, read_);
        }
        share_.keep();
        return read;
    }

    tcp::socket &socket_;
    beast::flat_buffer &buffer_;
    ByteBudget::Share &share_;
    Parser parser_;
    BodyBlocks body_;
    HeldBytes held_;
    std::size_t read_ = 0;
};

} // namespace

std::size_t bufferBytes(const ServerLimits &limits)
{
    return std::max<std::size_t>(limits.headBytes, MaxFramingBytes);
}

asio::awaitable<RequestRead> readRequest(tcp::socket &socket, beast::flat_buffer &buffer,
                                         const ServerLimits &limits, ByteBudget::Share &share)
{
    RequestReading reading(socket, buffer, limits, share);
    co_return co_await reading.read();
}

} // namespace limereel::http
