#include "services/PeriodicTask.h"

#include "kernel/Log.h"

#include <boost/asio.hpp>

namespace limereel::services {

namespace asio = boost::asio;

struct PeriodicTask::State
{
    State(asio::io_context &context, Round oneRound)
        : io(context)
        , timer(context)
        , round(std::move(oneRound))
    {
    }

    asio::io_context &io;
    asio::steady_timer timer;
    Round round;
    bool stopped = false;
    bool hurried = false;
};

namespace {

template <typename StatePtr>
asio::awaitable<void> run(StatePtr state)
{
    const kernel::Log log("loop");
    while (!state->stopped) {
        kernel::Duration pause = 1s;
        try {
            pause = co_await state->round();
        } catch (const std::exception &error) {
            log.error(std::string("A round failed: ") + error.what() + ".");
        }
        if (state->stopped) {
            break;
        }
        if (!state->hurried) {
            state->timer.expires_after(pause);
            co_await state->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        state->hurried = false;
    }
}

} // namespace

PeriodicTask::PeriodicTask(asio::io_context &io, Round round)
    : state_(std::make_shared<State>(io, std::move(round)))
{
    asio::co_spawn(io, run(state_), asio::detached);
}

PeriodicTask::~PeriodicTask()
{
    state_->stopped = true;
    state_->timer.cancel();
}

void PeriodicTask::hurry()
{
    state_->hurried = true;
    state_->timer.cancel();
}

} // namespace limereel::services
