#include "services/LoopStallMonitor.h"

#include "kernel/Log.h"

#include <nlohmann/json.hpp>

namespace limereel::services {

namespace {

// Four checks a second cost next to nothing, and detect most stalls longer than a check interval.
constexpr kernel::Duration CheckInterval = 250ms;
// The most urgent requests must be answered within 100 ms, so a stall of that length matters.
constexpr kernel::Duration StallThreshold = 100ms;

const kernel::Log &log()
{
    static const kernel::Log Log("loop");
    return Log;
}

} // namespace

void LoopStallMonitor::start()
{
    due_ = context_.now();
    checks_ = std::make_unique<PeriodicTask>(context_.io,
                                             [this]() -> boost::asio::awaitable<kernel::Duration> {
                                                 const kernel::Instant now = context_.now();
                                                 recordDelay(due_, now);
                                                 due_ = now + CheckInterval;
                                                 co_return kernel::Duration(CheckInterval);
                                             });
}

void LoopStallMonitor::stop()
{
    checks_.reset();
}

void LoopStallMonitor::recordDelay(kernel::Instant due, kernel::Instant now)
{
    const kernel::Duration late = now - due;
    if (late < StallThreshold) {
        return;
    }
    context_.counters.add("loop_standstills");
    context_.counters.observe("loop_standstill_seconds", kernel::seconds(late));
    log().event("stood-still", {{"late_ms", late / 1ms}}, "The event loop stalled.");
}

} // namespace limereel::services
