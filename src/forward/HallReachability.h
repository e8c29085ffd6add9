/** \file
 * What a box knows of the halls in which its backend servers stand: whether the way to one seems to
 * be cut off, and which halls get no request for now.
 *
 * A hall that is cut off answers for none of its servers. So one server that says nothing is no
 * sign, several are, and what is heard of one of them clears all.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace limereel::forward {

/** The settings of the book. */
struct HallPolicy
{
    std::size_t quietServers = 2; ///< Of a hall; then the way to it is doubted.
    kernel::Duration silence{};   ///< Of all its servers.
    kernel::Duration trial{};     ///< Between two requests to a doubted hall.
};

/** What is known of one server of a hall. */
struct ServerSign
{
    kernel::Instant noResponseAt;  ///< When connecting to it last brought nothing back.
    bool unansweredLately = false; ///< That is not long ago.
    bool silent = false;           ///< Nothing comes from it though an answer is due.

    /** Whether it speaks for a cut. */
    bool quiet() const { return unansweredLately || silent; }
};

/** What is known of all servers of a hall. */
class HallSigns
{
public:
    /** \param heard when bytes last came from any of them.
     * \param quietFor since then, standstills of this box left out. */
    HallSigns(kernel::Instant heard, kernel::Duration quietFor)
        : heard_(heard)
        , quietFor_(quietFor)
    {
    }

    void add(const ServerSign &sign);

    /** Servers that say that their hall is cut off. */
    std::size_t countUnreachable(kernel::Duration silence) const;

private:
    kernel::Instant heard_;
    kernel::Duration quietFor_;
    std::vector<ServerSign> quiet_;
};

/** The book of one box. Pure: time is handed in. */
class HallReachability
{
public:
    using SignsOf = std::function<HallSigns(const std::string &hall)>;

    explicit HallReachability(HallPolicy policy)
        : policy_(policy)
    {
    }

    /** A request is about to be tried at a server of \a hall. */
    void noteAttempt(const std::string &hall, kernel::Instant now) { attempts_[hall] = now; }

    /** Bytes came from a server of \a hall. */
    void noteHeard(const std::string &hall, kernel::Instant now) { heard_[hall] = now; }

    /** When bytes last came from \a hall, also from servers that are gone since. */
    kernel::Instant heard(const std::string &hall) const;

    /** Puts the time of each hall's last bytes off by what \a standstill says of it. */
    void shiftTimes(const std::function<kernel::Duration(kernel::Instant since)> &stalledFor);

    /** Whether the way to a hall is doubted. */
    bool isSuspected(const HallSigns &signs) const;

    /** The doubted halls that had a request lately: they get the next one after a while.
     * \param quietServers how many there are, by hall. */
    std::set<std::string> closed(const std::map<std::string, std::size_t> &quietServers,
                                 const SignsOf &signsOf, kernel::Instant now) const;

private:
    HallPolicy policy_;
    std::map<std::string, kernel::Instant> attempts_; ///< The last one, by hall.
    std::map<std::string, kernel::Instant> heard_;    ///< The last bytes, by hall.
};

} // namespace limereel::forward
