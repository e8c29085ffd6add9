/** \file
 * An HTTP/1.1 server over Beast, with limits that keep a slow or broken client from holding the
 * box: head and body sizes, connections, time for a whole request, for each write, and for idling.
 */
#pragma once

#include "http/ByteBudget.h"
#include "http/ConnectionEnd.h"
#include "http/Message.h"
#include "kernel/BoxSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace limereel::http {

/** The way back to the client of one request: one whole answer, or a streamed one. */
class Reply
{
public:
    virtual ~Reply() = default;

    /** Sends a whole answer. \return false if the client is gone. */
    virtual boost::asio::awaitable<bool> send(Answer answer) = 0;

    /** Sends the head of a streamed answer. */
    virtual boost::asio::awaitable<bool> begin(int status, Fields fields) = 0;

    /** Sends a part of a streamed answer. */
    virtual boost::asio::awaitable<bool> write(std::string_view part) = 0;

    /** Ends a streamed answer as whole. Without it the connection is closed and the client sees the
     * cut. */
    virtual boost::asio::awaitable<bool> finish() = 0;

    /** Whether the client has closed its side, as far as the box can see without reading. */
    virtual bool clientGone() = 0;

    /** Whether anything has been sent. */
    virtual bool begun() const = 0;

    /**
     * Calls \a gone once if the client closes its side before the request is over. A client that
     * already sends its next request isn't watched any more.
     */
    virtual void watchClient(std::function<void()> gone) = 0;

    /** Makes the answer close its connection, so that the client moves to another box. */
    virtual void closeAfter() = 0;
};

/** Handles a request. If it throws before its answer has begun, the client is answered with 500. */
using Handler = std::function<boost::asio::awaitable<void>(Request, Reply &)>;

/** Why a request never reached the handler. */
enum class Refused : std::uint8_t {
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
    TooManyConnections,
    NoRoom ///< In the byte budget.
};

/** Limits of a server. */
struct ServerLimits
{
    std::uint32_t headBytes = 16384;
    std::uint32_t bodyBytes = 1048576;
    std::uint32_t connections = 4096;
    kernel::Duration headTimeout = 10s;
    kernel::Duration writeTimeout = 20s;
    kernel::Duration idleTimeout = 60s;
    /** How long callers may take to learn of a lowered idleTimeout. */
    kernel::Duration idleNotice{};
    /** What a drain leaves a caller that was promised a kept connection for its next request. One
     * that has it ready needs a round trip, a fifth of a second at the longest between regions. */
    kernel::Duration restInDrain = 250ms;
};

/** A listening server. Destroyed only after its io_context has stopped. */
class Server
{
public:
    Server(boost::asio::io_context &io, ServerLimits limits, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** How a request that the limits refuse is answered. */
    void setRefusal(std::function<Answer(Refused)> refusal);

    /** Sets the budget that requests are counted in; shared with other servers. Without it they
     * aren't bounded in sum. */
    void setBudget(std::shared_ptr<ByteBudget> budget);

    /** Sets what hears of the end of each connection. */
    void onConnectionEnd(std::function<void(const ConnectionEnd &)> ended);

    /** Replaces the limits, for requests that are read from now on, and for connections that rest:
     * they gain by a raised idleTimeout, and aren't bound by a lowered one. */
    void setLimits(ServerLimits limits);

    /** Listens on \a endpoint; port 0 takes a free one. Throws boost::system::system_error. */
    void listen(const kernel::Endpoint &endpoint);

    /** The port that is listened on. */
    std::uint16_t port() const;

    /** Takes no more connections, and closes each after the request that it is on or that has
     * arrived on it. */
    void drain();

    /** From now on each answer closes its connection, so that clients move to other boxes. */
    void closeAfterAnswers();

    /** Requests that are being read or handled, or have arrived. */
    std::size_t active() const;

private:
    struct Shared;
    std::shared_ptr<Shared> shared_;
};

} // namespace limereel::http
