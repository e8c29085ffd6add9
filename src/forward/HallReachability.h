/** \file
 * Detects halls that seem to be cut off from this box, and decides which halls get no requests for
 * now.
 *
 * A hall that is cut off responds for none of its servers. So one unresponsive server proves
 * nothing; several indicate a cut, and bytes received from any of them clear the suspicion.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limereel::forward {

/** The settings of the detection. */
struct HallPolicy
{
    /** Unresponsive servers of a hall after which the network path to it is suspected. */
    std::size_t quietServers = 2;
    kernel::Duration silence{}; ///< Silence of all its servers that counts.
    kernel::Duration trial{};   ///< Interval between two trial requests to a suspected hall.
};

/** What the state of one server indicates about its hall. */
struct ServerSign
{
    kernel::Instant noResponseAt;  ///< When a connection attempt last got no response.
    bool unansweredLately = false; ///< Whether that was recently.
    bool silent = false;           ///< Whether it sends nothing while an answer is pending.

    /** Whether it indicates that the hall is cut off. */
    bool quiet() const { return unansweredLately || silent; }
};

/** What the states of a hall's servers together indicate. */
class HallSigns
{
public:
    /** \param heard when bytes last came from any of them.
     * \param quietFor the time since then, less the stalls of this process. */
    HallSigns(kernel::Instant heard, kernel::Duration quietFor)
        : heard_(heard)
        , quietFor_(quietFor)
    {
    }

    void add(const ServerSign &sign);

    /** The number of servers that indicate that their hall is cut off. */
    std::size_t countUnreachable(kernel::Duration silence) const;

private:
    kernel::Instant heard_;
    kernel::Duration quietFor_;
    std::vector<ServerSign> quiet_;
};

/** What one box knows of its halls. Deterministic: callers pass in the current time. */
class HallReachability
{
public:
    using SignsOf = std::function<HallSigns(const std::string &hall)>;

    explicit HallReachability(HallPolicy policy)
        : policy_(policy)
    {
    }

    /** Records that a request is about to be sent to a server of \a hall. */
    void noteAttempt(const std::string &hall, kernel::Instant now) { attempts_[hall] = now; }

    /** Records that bytes came from a server of \a hall. */
    void noteHeard(const std::string &hall, kernel::Instant now) { heard_[hall] = now; }

    /** When bytes last came from \a hall, including servers that are no longer listed. */
    kernel::Instant heard(const std::string &hall) const;

    /** Moves the time of each hall's last bytes forward by what \a stalledFor returns for it. */
    void shiftTimes(const std::function<kernel::Duration(kernel::Instant since)> &stalledFor);

    /** Whether the network path to a hall is suspected to be cut. */
    bool isSuspected(const HallSigns &signs) const;

    /** The suspected halls that had a request recently; each gets the next one after \c
     * HallPolicy::trial. \param quietServers the number of unresponsive servers, by hall. */
    std::set<std::string> closed(const std::map<std::string, std::size_t> &quietServers,
                                 const SignsOf &signsOf, kernel::Instant now) const;

private:
    HallPolicy policy_;
    std::map<std::string, kernel::Instant> attempts_; ///< The last attempt, by hall.
    std::map<std::string, kernel::Instant> heard_;    ///< When bytes last came, by hall.
};

} // namespace limereel::forward
