#include "http/WaitLimit.h"

#include "http/SocketState.h"

#include <boost/asio/steady_timer.hpp>

namespace limereel::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// With the first pause of zero, a pass of the loop lies between the end of the limit and the look.
constexpr kernel::Duration FirstPause = 0ms;
constexpr kernel::Duration Pause = 1ms; ///< Between two looks; a pass of a busy loop.
// 128 events a pass: enough passes for some ten thousand ready connections. Bytes that nobody
// reads, such as an answer before the whole request was taken, hold a wait up for no longer.
constexpr int MostLooks = 100;

} // namespace

struct WaitLimit::State : std::enable_shared_from_this<State>
{
    explicit State(tcp::socket &waitedOn)
        : socket(waitedOn)
        , timer(waitedOn.get_executor())
    {
    }

    void arm(kernel::Duration longest)
    {
        timer.expires_after(longest);
        timer.async_wait([weak = weak_from_this(), wait = wait](boost::system::error_code) {
            const auto state = weak.lock();
            // The handler of a limit that has run out can't be called back any more.
            if (state && state->wait == wait) {
                state->onTimer();
            }
        });
    }

    void onTimer()
    {
        if (looks > 0 && (looks > MostLooks || !hasCome())) {
            ranOut = true;
            boost::system::error_code ignored;
            socket.close(ignored);
            return;
        }
        arm(looks == 0 ? FirstPause : Pause);
        ++looks;
    }

    bool hasCome()
    {
        const int handle = socket.native_handle();
        return event == WaitFor::Writable ? connectIsOver(handle)
                                          : arrivedAt(handle) != Arrived::Nothing;
    }

    tcp::socket &socket;
    asio::steady_timer timer;
    std::uint64_t wait = 0; ///< Number of the wait; a handler of an earlier one does nothing.
    WaitFor event = WaitFor::Bytes;
    int looks = 0;
    bool ranOut = false;
};

WaitLimit::WaitLimit(tcp::socket &socket)
    : state_(std::make_shared<State>(socket))
{
}

WaitLimit::~WaitLimit()
{
    end();
}

void WaitLimit::begin(WaitFor event, kernel::Duration longest)
{
    ++state_->wait;
    state_->event = event;
    state_->looks = 0;
    state_->arm(longest);
}

void WaitLimit::goOn(WaitFor event)
{
    state_->event = event;
}

void WaitLimit::end()
{
    ++state_->wait;
    state_->timer.cancel();
}

bool WaitLimit::ranOut() const
{
    return state_->ranOut;
}

} // namespace limereel::http
