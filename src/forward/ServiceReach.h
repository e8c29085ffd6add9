/** \file
 * Detects that this box has lost its way to all backend servers of a service.
 *
 * One server that can't be reached may have crashed. Several different ones in a row, with none
 * reached in between, indicate that it is the box that is cut off; whether it is, only other boxes
 * can tell.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limereel::forward {

/** What one box reaches. Deterministic: callers pass in the current time. */
class ServiceReach
{
public:
    /** Different servers that have to fail; all of them if a service has fewer. */
    static constexpr std::size_t Quorum = 2;
    /** How long a failure counts. A service that is lost is probed several times in it. */
    static constexpr kernel::Duration Kept = 3s;

    /** Records that a server of \a service answered. */
    void noteReached(const std::string &service) { failures_.erase(service); }

    /** Records that \a server refused a connection, or answered neither it nor a request. */
    void noteUnreached(const std::string &service, std::uint64_t server, kernel::Instant now);

    /** Whether the way to \a service is lost. \param listed how many servers it has. */
    bool isLost(const std::string &service, std::size_t listed, kernel::Instant now) const;

    /** The services with servers that weren't reached. */
    std::vector<std::string> doubtful(kernel::Instant now) const;

private:
    using FailedAt = std::map<std::uint64_t, kernel::Instant>; ///< By server.

    static std::size_t countRecent(const FailedAt &failedAt, kernel::Instant now);

    std::map<std::string, FailedAt> failures_; ///< Since a server was last reached, by service.
};

} // namespace limereel::forward
