/** \file
 * A time limit for what a connection waits for. When it runs out the connection is closed, and
 * what had arrived by then and wasn't read is kept for whoever asks why.
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

/** The limit of one socket. */
class TimeLimit
{
public:
    /** \param socket outlives the limit. */
    explicit TimeLimit(boost::asio::ip::tcp::socket &socket);
    ~TimeLimit();
    TimeLimit(const TimeLimit &) = delete;
    TimeLimit &operator=(const TimeLimit &) = delete;

    /** Closes the socket \a wait from now, in place of the limit before. */
    void expireAfter(kernel::Duration wait);

    /** Closes the socket at \a when of the steady clock, in place of the limit before. */
    void expireAt(kernel::Instant when);

    /** No limit, until the next one is set. */
    void never();

    /** What waited unread when the limit closed the socket; nothing if it didn't. */
    std::optional<Arrived> expired() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace limereel::http
