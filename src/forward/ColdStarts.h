/** \file
 * Which backend servers have started lately and bear only so many requests a second.
 *
 * A server is cold by its own word, in its entry or in an answer; when it is listed for the first
 * time; when it may have been restarted unseen; and when its hall is given work again after it was
 * drained. Only time makes it warm: a word that says so may be older than its last start. To take a
 * warm server for cold costs little, as the bound is above what a server gets on average.
 */
#pragma once

#include "forward/Backend.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace limereel::forward {

/** How the servers of one service start. */
struct ColdPolicy
{
    kernel::Duration duration{}; ///< From a start on.
    double perSecond = 0;        ///< Requests that a cold server bears; 0: no bound.

    auto operator<=>(const ColdPolicy &) const = default;
};

/** Whether one server is cold. */
struct ColdState
{
    kernel::Duration left{}; ///< For how long it is; zero: it is warm, or there is no bound.
    double perSecond = 0;    ///< Requests that it bears meanwhile.

    bool cold() const { return left > kernel::Duration::zero(); }
    auto operator<=>(const ColdState &) const = default;
};

/** What one box knows of it. Pure: time is handed in. */
class ColdStarts
{
public:
    /** Takes the policies of all services, by their names. */
    void setServices(const std::map<std::string, ColdPolicy> &services);

    /** Whether cold servers of \a service are bounded in what they are sent. */
    bool bounded(const std::string &service) const;

    /** The server says that it is cold for \a left longer, or another box says so of it. */
    void noteReported(std::uint64_t server, kernel::Duration left, kernel::Instant now);

    /** The server has started, or may have started, not later than now. */
    void noteStarted(std::uint64_t server, kernel::Instant now) { known_[server].started = now; }

    /** Whether the server was noted as started less than \a span ago. */
    bool startedWithin(std::uint64_t server, kernel::Duration span, kernel::Instant now) const;

    /** The state of \a server. \param service hash of the name of its service. */
    ColdState state(std::uint64_t service, std::uint64_t server, kernel::Instant now) const;

    /** The same of a listed server. */
    ColdState state(const ListedServer &server, kernel::Instant now) const;

    /** Forgets servers that have been warm for long. */
    void expire(kernel::Instant now);

    std::size_t size() const { return known_.size(); }

private:
    struct Known
    {
        kernel::Instant told;    ///< Cold until then, by a word.
        kernel::Instant started; ///< Cold for the service's time from then on.
    };

    std::unordered_map<std::uint64_t, ColdPolicy> services_; ///< By the hash of the name.
    std::unordered_map<std::uint64_t, Known> known_;         ///< By ListedServer::hash().
    kernel::Instant expired_;                                ///< When expire() last looked.
};

} // namespace limereel::forward
