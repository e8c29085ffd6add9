/** \file
 * A client's connection that can be kept for several requests, over Beast.
 *
 * Sending and reading go on at the same time, since a server may answer before it has read a whole
 * body. Each body says by what its end is known (BodyEnd). A connection on which anything was left
 * over, or not wholly sent, isn't used again.
 */
#pragma once

#include "http/BodyEnd.h"
#include "http/Client.h"
#include "http/LateLooks.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace limereel::http {

/** The head of an answer. */
struct AnswerStart
{
    int status = 0;
    Fields fields;
};

/** The connection. Shared, since what was begun on it may outlast the one who began it. */
class KeptConnection : public std::enable_shared_from_this<KeptConnection>
{
public:
    using Ptr = std::shared_ptr<KeptConnection>;

    /** Connects within \a longest. */
    static boost::asio::awaitable<tl::expected<Ptr, CallFailure>>
    connect(boost::asio::io_context &io, kernel::Endpoint endpoint, kernel::Duration longest);

    /** Whether it came about in time but was noticed only after its time. */
    bool connectedLate() const;

    /** Begins to send \a request, with the fields that it has and its body's length. */
    void send(Request request);

    /** Waits for the head of the next answer. */
    boost::asio::awaitable<tl::expected<AnswerStart, CallFailure>> readHead();

    /** The next part of the answer's body, or its end. */
    boost::asio::awaitable<tl::expected<BodyPart, CallFailure>> readPart();

    /** Whether the bytes of a body that have come may be held; else the failure. */
    using Hold = std::function<std::optional<CallFailure>(std::size_t bytes)>;

    /** Reads the rest of the body, at most \a mostBytes and as long as \a hold lets it. */
    boost::asio::awaitable<tl::expected<Body, CallFailure>> readAll(std::size_t mostBytes,
                                                                    Hold hold);

    /** The same without a budget. */
    boost::asio::awaitable<tl::expected<Body, CallFailure>> readAll(std::size_t mostBytes);

    /** Ends the connection; what is being read fails. */
    void close();

    /** Whether another request may follow the answer that was read. */
    bool reusable() const;

    /** Whether nothing has come on an idle connection, neither bytes nor its end. */
    bool quiet() const;

    /** How long ago its last bytes came, read or not; nothing if it isn't open. */
    std::optional<kernel::Duration> rested() const;

    /** What has come on the connection, read or not. */
    Heard heard() const;

    /** Whether more of the answer, or the connection's end, can be read at once. A part that its
     * reader has taken already, and can't handle without the rest, isn't meant. */
    bool answerWaits() const;

    /** Bytes that were taken from the socket so far, handled or not. */
    std::uint64_t taken() const;

private:
    struct State;
    explicit KeptConnection(boost::asio::io_context &io);

    CallFailure failure(const boost::system::error_code &error) const;

    std::shared_ptr<State> state_;
};

} // namespace limereel::http
