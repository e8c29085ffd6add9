/** \file
 * The times of a planned stop, for the services that have to know how long the process still runs.
 */
#pragma once

#include "kernel/Kernel.h"
#include "kernel/decisions/Time.h"

#include <optional>

namespace limereel::services {

/** The times of one planned stop. */
struct StopTimes
{
    kernel::Instant drainsAt; ///< Until then the balancer may still send new connections.
    kernel::Instant endsAt;   ///< Requests that still run are aborted then.

    auto operator<=>(const StopTimes &) const = default;
};

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
