/** \file
 * Notices that the event loop stood still: a long computation, a process that was paused, a busy
 * machine. Whatever waits longer than it should may have waited for this.
 */
#pragma once

#include "services/Context.h"
#include "services/Repeat.h"

#include <memory>

namespace limereel::services {

/** The watch. */
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
    /** A turn came at \a now; \a due is when it should have come. */
    void note(kernel::Instant due, kernel::Instant now);

    Context &context_;
    kernel::Instant due_;
    std::unique_ptr<Repeat> turns_;
};

} // namespace limereel::services
