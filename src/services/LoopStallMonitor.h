/** \file
 * Detects stalls of the event loop, such as a long computation, a paused process or a busy machine.
 * A stall delays every timer and answer of the process, so its record explains waits that took too
 * long.
 */
#pragma once

#include "services/Context.h"
#include "services/PeriodicTask.h"

#include <memory>

namespace limereel::services {

/** Schedules a periodic check and records how late it ran. */
class LoopStallMonitor : public kernel::Service
{
public:
    explicit LoopStallMonitor(Context &context)
        : context_(context)
    {
    }

    std::string_view name() const override { return "loop"; }
    void start() override;
    void stop() override;

private:
    /** Records a check that ran at \a now but was due at \a due. */
    void recordDelay(kernel::Instant due, kernel::Instant now);

    Context &context_;
    kernel::Instant due_;
    std::unique_ptr<PeriodicTask> checks_;
};

} // namespace limereel::services
