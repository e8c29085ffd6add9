#include "services/StopService.h"

#include "kernel/Log.h"
#include "services/CallerService.h"
#include "services/MembershipService.h"
#include "services/StopDeadline.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace limereel::services {

namespace asio = boost::asio;

namespace {

constexpr kernel::Duration PollInterval = 50ms;
constexpr int LeaveHeartbeats =
        3; ///< Heartbeats that announce that the box is leaving, before it may exit.
// Requests that arrived during a stall are read and answered within a few iterations of the loop.
constexpr kernel::Duration DeadlineExtension = 200ms;

const kernel::Log &log()
{
    static const kernel::Log Log("stop");
    return Log;
}

} // namespace

StopService::StopService(Context &context, std::function<void()> done)
    : context_(context)
    , done_(std::move(done))
{
}

void StopService::leave()
{
    if (times()) {
        return;
    }
    const kernel::Instant startedAt = context_.now();
    const kernel::Duration announcement = context_.settings.heartbeatPeriod * LeaveHeartbeats;
    const kernel::Duration servingPeriod = std::max(context_.settings.balancerLag, announcement);
    setTimes({startedAt + servingPeriod, startedAt + context_.settings.stopDeadline});
    log().info("A planned stop begins.");
    context_.kernel.find<CallerService>("caller").beginLeaving();
    context_.kernel.find<MembershipService>("membership").leave();
    asio::co_spawn(context_.io, run(), asio::detached);
}

asio::awaitable<void> StopService::run()
{
    auto &caller = context_.kernel.find<CallerService>("caller");
    asio::steady_timer timer(context_.io);
    timer.expires_after(times()->drainsAt - context_.now());
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    caller.drain();
    StopDeadline deadline({times()->drainsAt, times()->endsAt, PollInterval, DeadlineExtension});
    // Waits once before the first check: an accepted connection may not have started its first
    // read.
    do {
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    } while (caller.active() > 0 && !deadline.expired(context_.now()));
    const std::size_t aborted = caller.active();
    if (aborted > 0) {
        log().error("The deadline of the planned stop has passed; " + std::to_string(aborted)
                    + " requests are aborted.");
    }
    log().info("The planned stop is done.");
    done_();
}

} // namespace limereel::services
