/** \file
 * The service that stops a process as planned, as far as other services have to know of it.
 */
#pragma once

#include "kernel/Kernel.h"
#include "services/StopTimes.h"

#include <optional>

namespace limereel::services {

/** A service that carries out the planned stop of its process; each kind of process has one. */
class PlannedStop : public kernel::Service
{
public:
    std::string_view name() const override { return "stop"; }
    void start() override {}
    void stop() override {}

    /** The times of the stop; nothing: none has begun. */
    const std::optional<StopTimes> &times() const { return times_; }

protected:
    /** Called once, when the stop begins. */
    void setTimes(const StopTimes &times) { times_ = times; }

private:
    std::optional<StopTimes> times_;
};

} // namespace limereel::services
