/** \file
 * A time limit for waits on a socket, which looks at the socket before it ends a wait.
 *
 * An event loop that stood still finds the end of a limit and the event that was waited for
 * together, and may handle the limit first: a pass of the loop takes a bounded number of events
 * from the system, and what comes while one handler runs long is seen only in the next pass. So a
 * limit that has run out lets the loop make one more pass, and then waits on as long as the socket
 * shows that what is waited for has come, for a bounded number of looks.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace limereel::http {

/** What a wait on a socket waits for. */
enum class WaitFor : std::uint8_t {
    Writable, ///< The end of connecting, or room for bytes to send.
    Bytes     ///< Bytes, or the end of the connection.
};

/** The limit. Closes the socket when it runs out; whatever waits on it then fails. */
class WaitLimit
{
public:
    /** \param socket must outlive the limit. */
    explicit WaitLimit(boost::asio::ip::tcp::socket &socket);
    ~WaitLimit();
    WaitLimit(const WaitLimit &) = delete;
    WaitLimit &operator=(const WaitLimit &) = delete;

    /** Begins a wait for \a event of at most \a longest; replaces the one before. */
    void begin(WaitFor event, kernel::Duration longest);

    /** The wait goes on under the same limit, from now on for \a event. */
    void goOn(WaitFor event);

    /** The wait is over. */
    void end();

    /** Whether a wait ran out. The socket stays closed. */
    bool ranOut() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace limereel::http
