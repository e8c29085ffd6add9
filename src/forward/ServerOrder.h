/** \file
 * The servers of a service in the order in which a prompt asks for them: rendezvous hashing over
 * all of them, so that a server that comes or goes moves only its own share of the prompts.
 *
 * The hashes lie side by side and the first few of the order are found in one pass, without sorting
 * the rest: some 2 ns a server on a whole core, once a request, where sorting ten thousand of them
 * took 12 ms each time. Weighing only the servers that follow a prompt's place in a ring of hashes
 * would take no longer on a larger fleet, but each server that comes or goes would move twice the
 * prompts, its own share and that of the one that it pushes out of sight.
 */
#pragma once

#include "forward/ServerRecord.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace limereel::forward {

/** A server's weight for a key. */
struct WeighedServer
{
    std::uint64_t weight = 0;
    std::uint64_t hash = 0;
    const ServerRecord *record = nullptr;

    /** Whether it comes before \a other in the order. */
    bool before(const WeighedServer &other) const;
};

/** The servers of one service. Doesn't own the records. */
class RendezvousTable
{
public:
    using Wanted = std::function<bool(const ServerRecord &record)>;

    /** Adds \a record and notes its row there. */
    void insert(ServerRecord &record);
    void erase(const ServerRecord &record);

    std::size_t size() const { return hashes_.size(); }

    /** The first of the whole order for \a key, in order; some that a choice seldom looks beyond.
     * Kept for the next call, since a request asks several times with the same key. */
    const std::vector<WeighedServer> &first(std::uint64_t key) const;

    /** The first \a count of those that are wanted after \a last, in order. */
    std::vector<WeighedServer> after(std::uint64_t key, const WeighedServer &last,
                                     std::size_t count, const Wanted &wanted) const;

private:
    std::vector<std::uint64_t> hashes_; ///< Of the records, in rows.
    std::vector<ServerRecord *> records_;
    mutable std::optional<std::uint64_t> firstKey_; ///< Whose order first_ is; nothing: none.
    mutable std::vector<WeighedServer> first_;
};

/** The order of the wanted servers of a table for one key, worked out as far as it is asked for. */
class CandidateOrder
{
public:
    CandidateOrder(const RendezvousTable &table, std::uint64_t key, RendezvousTable::Wanted wanted);

    /** The next server; nullptr once there are no more. */
    const ServerRecord *next();

private:
    const RendezvousTable &table_;
    std::uint64_t key_;
    RendezvousTable::Wanted wanted_;
    std::vector<WeighedServer> found_; ///< The batch that is given out, up to next_.
    std::size_t next_ = 0;
    std::size_t batch_; ///< How many were last looked for.
};

} // namespace limereel::forward
