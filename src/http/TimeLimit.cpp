#include "http/TimeLimit.h"

#include <boost/asio/steady_timer.hpp>

namespace limereel::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

kernel::Instant steadyNow()
{
    return std::chrono::time_point_cast<kernel::Duration>(std::chrono::steady_clock::now());
}

} // namespace

/** Shared with the timer's handler, which may run after the limit is gone. */
struct TimeLimit::State : std::enable_shared_from_this<TimeLimit::State>
{
    explicit State(tcp::socket &limited)
        : socket(&limited)
        , timer(limited.get_executor())
    {
    }

    void set(kernel::Instant when)
    {
        due = when;
        if (!running || when < *running) {
            run(when);
        }
    }

    void run(kernel::Instant when)
    {
        running = when;
        timer.expires_at(when);
        timer.async_wait([self = shared_from_this()](boost::system::error_code stopped) {
            if (!stopped) {
                self->fire();
            }
        });
    }

    void fire()
    {
        running.reset();
        if (socket == nullptr || !due) {
            return;
        }
        if (steadyNow() < *due) {
            run(*due);
            return;
        }
        close();
    }

    void close()
    {
        due.reset();
        unread = arrivedAt(socket->native_handle());
        boost::system::error_code ignored;
        socket->close(ignored);
    }

    tcp::socket *socket; ///< nullptr once the limit is gone.
    asio::steady_timer timer;
    std::optional<kernel::Instant> due;     ///< Nothing: no limit.
    std::optional<kernel::Instant> running; ///< When the timer fires; maybe before it is due.
    std::optional<Arrived> unread;          ///< Set when the limit has closed the socket.
};

TimeLimit::TimeLimit(tcp::socket &socket)
    : state_(std::make_shared<State>(socket))
{
}

TimeLimit::~TimeLimit()
{
    state_->socket = nullptr;
    state_->timer.cancel();
}

void TimeLimit::expireAfter(kernel::Duration wait)
{
    expireAt(steadyNow() + wait);
}

void TimeLimit::expireAt(kernel::Instant when)
{
    state_->set(when);
}

void TimeLimit::never()
{
    state_->due.reset();
}

std::optional<Arrived> TimeLimit::expired() const
{
    return state_->unread;
}

} // namespace limereel::http
