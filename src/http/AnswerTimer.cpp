#include "http/AnswerTimer.h"

#include "kernel/Clock.h"

#include <boost/asio.hpp>

namespace limereel::http {

namespace asio = boost::asio;

namespace {

// Some passes of the event loop, on a box with a part of a core too.
constexpr kernel::Duration BetweenLooks = 20ms;
// Five looks on a box with an eighth of a core, which stands still for up to 90 ms of each 100 ms.
constexpr kernel::Duration LongestLooks = 200ms;
constexpr kernel::Duration MostBetweenLooks = 2 * BetweenLooks;
// The loop's timers stand still while the machine is suspended.
constexpr kernel::Duration LongestSleep = 500ms;

} // namespace

struct AnswerTimer::Wait : std::enable_shared_from_this<AnswerTimer::Wait>
{
    Wait(asio::io_context &io, kernel::Counters &ofProcess)
        : timer(io)
        , counters(ofProcess)
    {
    }

    void arm(kernel::Instant at);
    void look();
    void lookAfterATurn();

    asio::steady_timer timer;
    kernel::Counters &counters;
    std::string name;
    std::function<Heard()> heard;
    std::function<void()> over;
    LateLooks looks{LongestLooks, MostBetweenLooks};
    bool late = false;
    bool turnGiven = false;
    bool stopped = false;
};

void AnswerTimer::Wait::arm(kernel::Instant at)
{
    const kernel::Duration left = at - kernel::now();
    timer.expires_after(std::min(left, LongestSleep));
    timer.async_wait([self = shared_from_this(), at](boost::system::error_code) {
        // A handler that is under way already can't be cancelled.
        if (self->stopped) {
            return;
        }
        if (kernel::now() < at) {
            self->arm(at);
        } else {
            self->look();
        }
    });
}

void AnswerTimer::Wait::look()
{
    const kernel::Instant now = kernel::now();
    if (!looks.goOn(now, heard())) {
        lookAfterATurn();
        return;
    }
    turnGiven = false;
    if (!late) {
        late = true;
        counters.add("late_looks", {{"wait", name}});
    }
    arm(now + BetweenLooks);
}

// What was read may have its handler queued behind this timer; it goes first.
void AnswerTimer::Wait::lookAfterATurn()
{
    if (turnGiven) {
        stopped = true;
        over();
        return;
    }
    turnGiven = true;
    asio::post(timer.get_executor(), [self = shared_from_this()] {
        if (!self->stopped) {
            self->look();
        }
    });
}

AnswerTimer::AnswerTimer(asio::io_context &io, kernel::Counters &counters, std::string wait)
    : io_(io)
    , counters_(counters)
    , name_(std::move(wait))
{
}

AnswerTimer::~AnswerTimer()
{
    stop();
}

void AnswerTimer::start(kernel::Duration longest, std::function<Heard()> heard,
                        std::function<void()> over)
{
    stop();
    wait_ = std::make_shared<Wait>(io_, counters_);
    wait_->name = name_;
    wait_->heard = std::move(heard);
    wait_->over = std::move(over);
    wait_->arm(kernel::now() + longest);
}

void AnswerTimer::stop()
{
    if (wait_) {
        wait_->stopped = true;
        wait_->timer.cancel();
        wait_.reset();
    }
}

} // namespace limereel::http
