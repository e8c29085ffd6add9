/** \file
 * Decides whether a backend server is usable, from probes and from the results of requests, with
 * flap damping.
 *
 * Two failures in a row make it unusable. One that has flapped must pass more probes in a row
 * before it is used again, twice as many after each further outage, so that a flapping engine
 * doesn't move its chats back and forth. A period of good health resets the count of outages.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>

namespace limereel::membership {

/** The health of one backend server. */
class BackendHealth
{
public:
    /** Records that the server's incarnation \a incarnation answered a probe. */
    void noteProbeSuccess(std::uint32_t incarnation, kernel::Instant now);

    /** Records that a probe or a request could not reach the server. */
    void noteUnreachable(kernel::Instant now);

    bool usable() const { return usable_; }
    std::uint32_t incarnation() const { return incarnation_; }

private:
    void noteOutage(kernel::Instant now);
    int successesNeeded() const;

    bool usable_ = false;
    std::uint32_t incarnation_ = 0;
    int successes_ = 0;
    int failures_ = 0;
    int outages_ = 0;
    kernel::Instant lastOutage_;
};

} // namespace limereel::membership
