/** \file
 * Which backend servers a request may be sent to now, best ones only.
 *
 * Those that may take it at all are sorted by what is noted on them: good ones, fair ones (many
 * failed answers, or full a moment ago), and doubted ones. Only the best sort that has any is used.
 * One that has asked this box for rest isn't used, even if no other is left, and where servers do
 * that, none is sent more than it has places.
 * Servers on which nothing is noted are counted, not visited, so the time that this takes grows
 * with what this box did lately, and not with how many servers there are.
 */
#pragma once

#include "forward/ServerHealth.h"
#include "forward/ServerIndex.h"
#include "forward/ServerRequirements.h"

#include <random>
#include <vector>

namespace limereel::forward {

/** Some of the halls of an index, by their numbers. */
using HallSet = std::vector<bool>;

/** What a wish is set against. */
struct ServerView
{
    const ServerIndex &index;
    const ServerHealth &health;
    HallSet open;        ///< Halls in which the request may run.
    HallSet closed;      ///< Halls that get nothing for now, as the way to them seems cut.
    bool limitedToSlots; ///< Servers get no more requests than they have places.
    kernel::Instant now;
};

/** The servers of one choice. */
class UsableServers
{
public:
    UsableServers(const ServerView &view, const ServerRequirements &requirements);

    std::size_t size() const { return unused_ + tracked_.size(); }
    bool contains(const ServerRecord &record) const;

    /** Those on which something is noted. */
    const std::vector<const ServerRecord *> &tracked() const { return tracked_; }

    /** The mean load. Only with a size above 0. */
    double meanLoad() const;

    /** How many there are in a hall on which nothing is noted. */
    std::size_t untrackedIn(HallNumber hall) const
    {
        return hall < perHall_.size() ? perHall_[hall] : 0;
    }

    /** One of them by chance. \param number below unused(), chosen by chance. */
    const ServerRecord *pickUntracked(std::size_t number, std::mt19937_64 &random) const;
    const ServerRecord *pickUntrackedIn(HallNumber hall, std::mt19937_64 &random) const;

    /** How many there are on which nothing is noted. */
    std::size_t untracked() const { return unused_; }

private:
    enum class Sort : std::uint8_t { Doubted, Fair, Good };

    bool belongs(const ServerRecord &record) const;
    bool mayTake(const ServerRecord &record) const;
    bool excluded(const ServerRecord &record) const;
    Sort sortOf(const ServerRecord &record) const;
    void exclude(const std::vector<std::string> &ids);
    void countUnused();
    void sortNoted();

    const ServerView &view_;
    const ServerRequirements &requirements_;
    const ServiceServers *service_;
    std::vector<const ServerRecord *> excluded_; ///< Sorted by address.
    std::vector<const ServerRecord *> tracked_;
    std::vector<std::size_t> perHall_; ///< Unused ones, by hall.
    std::size_t unused_ = 0;
    Sort least_ = Sort::Good; ///< What is used.
    double mostErrors_ = 0;   ///< Of a good server.
};

} // namespace limereel::forward
