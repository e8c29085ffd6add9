/** \file
 * The services that a box takes for short: their servers have lately had no place for a request.
 *
 * Asking the owner of a server for a place costs messages and a round trip, so a box asks for plain
 * services only while they are short.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace limereel::forward {

/** The short services of one box. Deterministic: callers pass in the current time. */
class ShortServices
{
public:
    /** How long a service is taken for short after the last sign: some times as long as a request
     * runs, so that a shortage that pauses isn't found out anew each time. */
    static constexpr kernel::Duration Kept = 5s;

    /** Records that a server of \a service had no place for a request. */
    void noteShort(const std::string &service, kernel::Instant now)
    {
        shortUntil_[service] = now + Kept;
    }

    bool isShort(const std::string &service, kernel::Instant now) const;

    /** Number of services that are short. */
    std::size_t count(kernel::Instant now) const;

    /** Forgets services that are no longer short. */
    void expire(kernel::Instant now);

private:
    std::map<std::string, kernel::Instant> shortUntil_;
};

} // namespace limereel::forward
