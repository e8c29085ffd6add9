#include "http/TimeLimit.h"

#include "http/SteadyClock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace limereel::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// The loop reads what has arrived in its next turn or two. A peer that sends a byte now and then
// to keep a connection from its limit gains this much, a fifth of a second, and no more.
constexpr kernel::Duration LookAgain = 10ms;
constexpr std::uint32_t MostLooks = 20;

} // namespace

/** Shared with the timer's handler, which may run after the limit is gone. */
struct TimeLimit::State : std::enable_shared_from_this<TimeLimit::State>
{
    explicit State(tcp::socket &limited)
        : socket(&limited)
        , timer(limited.get_executor())
    {
    }

    void set(kernel::Instant when, Awaited what)
    {
        due = when;
        awaited = what;
        looks = 0;
        ++sets;
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
        if (staysFor(hasCome())) {
            return;
        }
        // What came may have been read already, with its handler queued behind this timer, where
        // another wait on the same socket ended first. It goes first: without this turn, one
        // request of one is lost when the loop stands still past the limit. One turn is enough
        // where one thread runs the loop: what is posted runs after all that was queued before.
        asio::post(socket->get_executor(),
                   [self = shared_from_this(), forLimit = sets] { self->lastLook(forLimit); });
    }

    void lastLook(std::uint64_t forLimit)
    {
        if (socket == nullptr) {
            return;
        }
        const bool handled = !due || forLimit != sets;
        if (handled) {
            ++lateLooks;
            return;
        }
        if (!staysFor(hasCome())) {
            close();
        }
    }

    bool staysFor(bool come)
    {
        const bool stays = come && looks < MostLooks;
        if (stays) {
            ++looks;
            ++lateLooks;
            run(steadyNow() + LookAgain);
        }
        return stays;
    }

    // Without this look, one request of one is lost when the loop stands still past the limit and
    // other work then runs ahead of its timer.
    bool hasCome() const
    {
        const int handle = socket->native_handle();
        if (awaited == Awaited::Room) {
            return hasRoom(handle);
        }
        const Arrived arrived = arrivedAt(handle);
        return arrived == Arrived::Bytes || arrived == Arrived::End;
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
    std::optional<kernel::Instant> due; ///< Nothing: no limit.
    Awaited awaited = Awaited::Bytes;
    std::uint64_t sets = 0;  ///< Limits that were set.
    std::uint32_t looks = 0; ///< Since the last one was.
    std::uint32_t lateLooks = 0;
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

void TimeLimit::expireAfter(kernel::Duration wait, Awaited awaited)
{
    expireAt(steadyNow() + wait, awaited);
}

void TimeLimit::expireAt(kernel::Instant when, Awaited awaited)
{
    state_->set(when, awaited);
}

void TimeLimit::nowAwait(Awaited awaited)
{
    state_->awaited = awaited;
}

void TimeLimit::never()
{
    state_->due.reset();
}

std::optional<Arrived> TimeLimit::expired() const
{
    return state_->unread;
}

std::uint32_t TimeLimit::lateLooks() const
{
    return state_->lateLooks;
}

} // namespace limereel::http
