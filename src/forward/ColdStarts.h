/** \file
 * Backend servers that have started recently ("cold" ones) and can take only a limited number of
 * requests a second.
 *
 * A server is cold if its entry or an answer says so, when it is listed for the first time, when it
 * may have been restarted unnoticed, and when its hall gets work again after a drain. Only the
 * passing of time makes it warm: a report that says that it is warm may be older than its last
 * start. Taking a warm server for cold costs little, as the limit is above what a server gets on
 * average.
 */
#pragma once

#include "forward/Backend.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace limereel::forward {

/** The cold phase of the servers of one service. */
struct ColdPolicy
{
    kernel::Duration duration{}; ///< Length of the cold phase, from the start.
    double perSecond = 0;        ///< Requests a second that a cold server can take; 0: no limit.

    auto operator<=>(const ColdPolicy &) const = default;
};

/** Whether one server is cold. */
struct ColdState
{
    kernel::Duration left{}; ///< How long it is still cold; zero: it is warm, or there is no limit.
    double perSecond = 0;    ///< Requests a second that it can take until then.

    bool cold() const { return left > kernel::Duration::zero(); }
    auto operator<=>(const ColdState &) const = default;
};

/** The cold servers known to one box. Deterministic: callers pass in the current time. */
class ColdStarts
{
public:
    /** Sets the policies of all services, by their names. */
    void setServices(const std::map<std::string, ColdPolicy> &services);

    /** Whether the request rate to cold servers of \a service is limited. */
    bool bounded(const std::string &service) const;

    /** Records a report, from the server itself or from another box, that the server is cold for \a
     * left longer. */
    void noteReported(std::uint64_t server, kernel::Duration left, kernel::Instant now);

    /** Records that the server has started, or may have started, at \a now or before. */
    void noteStarted(std::uint64_t server, kernel::Instant now) { known_[server].startedAt = now; }

    /** Whether the last recorded start of the server is less than \a span ago. */
    bool startedWithin(std::uint64_t server, kernel::Duration span, kernel::Instant now) const;

    /** The state of \a server. \param service hash of the name of its service. */
    ColdState state(std::uint64_t service, std::uint64_t server, kernel::Instant now) const;

    /** The state of a listed server. */
    ColdState state(const ListedServer &server, kernel::Instant now) const;

    /** Drops servers that have been warm for a long time. */
    void expire(kernel::Instant now);

    std::size_t size() const { return known_.size(); }

private:
    struct Known
    {
        kernel::Instant reportedUntil; ///< End of the cold phase, as reported.
        /** Last start; the cold phase lasts for the service's time from then on. */
        kernel::Instant startedAt;
    };

    std::unordered_map<std::uint64_t, ColdPolicy> services_; ///< By the hash of the name.
    std::unordered_map<std::uint64_t, Known> known_;         ///< By ListedServer::hash().
    kernel::Instant expired_;                                ///< When expire() last searched.
};

} // namespace limereel::forward
