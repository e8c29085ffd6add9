/** \file
 * Holds an event loop up so that the end of a time limit is handled ahead of an event that is
 * there.
 *
 * Asio takes a bounded number of events from the system in one pass, in the order in which they
 * happened; the end of a timer is one of them. So where the loop stands still, a limit ends, as
 * many other sockets become readable, and then the event happens that the limit is for, the event
 * is seen only in the pass after the one that runs the timer. A handler that runs long between the
 * two has the same effect.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <boost/asio.hpp>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

namespace limereel::support {

/** As many sockets as one pass of the loop takes events, which become readable all at once. */
class Crowd
{
public:
    explicit Crowd(boost::asio::io_context &io)
    {
        for (std::size_t index = 0; index < EventsPerPass; ++index) {
            auto &[near, far] = pairs_.emplace_back(Socket(io), Socket(io));
            boost::asio::local::connect_pair(near, far);
            near.async_wait(boost::asio::socket_base::wait_read, [](boost::system::error_code) {});
        }
    }

    void becomeReadable()
    {
        for (auto &[near, far] : pairs_) {
            boost::asio::write(far, boost::asio::buffer("x", 1));
        }
    }

private:
    using Socket = boost::asio::local::stream_protocol::socket;

    static constexpr std::size_t EventsPerPass = 128; ///< In Asio's reactor over epoll.

    std::vector<std::pair<Socket, Socket>> pairs_;
};

/** Blocks until a limit of \a limit that began before this call has ended. */
inline void blockPast(kernel::Duration limit)
{
    std::this_thread::sleep_until(std::chrono::steady_clock::now() + limit + 1ms);
}

} // namespace limereel::support
