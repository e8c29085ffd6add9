/** \file
 * Holds what servers saw against the fleet's bound on repeats: in any window, the arrivals beyond
 * the first of each request, over all servers of a service. Pure.
 */
#pragma once

#include "forward/FleetRetryBudget.h"

#include <set>
#include <string>
#include <vector>

namespace limereel::soak {

/** A window with its arrivals beyond the first. */
struct RepeatWindow
{
    kernel::Instant begin;
    std::size_t repeats = 0;
    std::size_t requests = 0; ///< Of it, of the one before, or of the one half a window before:
                              ///< whichever has most.
    double allowed = 0;

    double room() const { return allowed - static_cast<double>(repeats); }
};

/** The judge of one service. */
class RepeatJudge
{
public:
    explicit RepeatJudge(forward::RetryBound bound)
        : bound_(bound)
    {
    }

    /** A caller has sent a request. */
    void noteRequest(kernel::Instant at) { requests_.push_back(at); }

    /** A server has got the request \a id, whether it ran it or not. */
    void noteArrival(const std::string &id, kernel::Instant at);

    /** The window in which least was left of what is allowed. */
    RepeatWindow worst() const;

private:
    forward::RetryBound bound_;
    std::vector<kernel::Instant> requests_;
    std::vector<kernel::Instant> repeats_;
    std::set<std::string> arrived_;
};

} // namespace limereel::soak
