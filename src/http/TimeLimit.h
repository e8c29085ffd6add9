/** \file
 * A time limit for what a connection waits for. When it runs out and nothing has come, the
 * connection is closed.
 *
 * A limit may run out while the event loop stands still, or while other work is done ahead of its
 * timer. What was waited for may have come meanwhile without the loop having seen it, or may have
 * been read without having been handled. So the limit looks at the socket, and lets what is queued
 * go first, before it closes: closing then would lose a whole request without a word.
 *
 * Setting a limit later than the one before costs no system call and no timer: the running timer
 * finds out when it fires. A connection sets several limits for each request.
 */
#pragma once

#include "http/SocketState.h"
#include "kernel/decisions/Time.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>

namespace limereel::http {

/** What a connection waits for. */
enum class Awaited : std::uint8_t {
    Bytes, ///< From the peer, or the end of what it sends.
    Room   ///< To send to it; that a connection comes about.
};

/** The limit of one socket. */
class TimeLimit
{
public:
    /** \param socket outlives the limit. */
    explicit TimeLimit(boost::asio::ip::tcp::socket &socket);
    ~TimeLimit();
    TimeLimit(const TimeLimit &) = delete;
    TimeLimit &operator=(const TimeLimit &) = delete;

    /** Closes the socket \a wait from now if what is \a awaited hasn't come by then; in place of
     * the limit before. */
    void expireAfter(kernel::Duration wait, Awaited awaited = Awaited::Bytes);

    /** The same at \a when of the steady clock. */
    void expireAt(kernel::Instant when, Awaited awaited = Awaited::Bytes);

    /** The limit stays, and \a awaited is what counts from now on. */
    void nowAwait(Awaited awaited);

    /** No limit, until the next one is set. */
    void never();

    /** What waited unread when the limit closed the socket; nothing if it didn't. */
    std::optional<Arrived> expired() const;

    /** How often a limit had run out and its socket was kept, since what was awaited had come. */
    std::uint32_t lateLooks() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace limereel::http
