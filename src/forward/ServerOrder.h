/** \file
 * The servers of a service in the order in which a prompt prefers them: rendezvous hashing over all
 * of them, so that adding or removing a server moves only its own share of the prompts.
 *
 * The hashes are stored contiguously, and the first few servers of the order are found in one pass
 * without sorting the others. This takes about 2 ns a server on a whole core, once a request;
 * sorting ten thousand of them took 12 ms each time. Weighing only the servers that follow a
 * prompt's position on a ring of hashes would take a constant time, but each server added or
 * removed would move twice as many prompts: its own share and that of the server that it displaces
 * from the candidates.
 */
#pragma once

#include "forward/ServerRecord.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace limereel::forward {

/** A server and its weight for a key. */
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

    /** Adds \a record and stores its row there. */
    void insert(ServerRecord &record);
    void erase(const ServerRecord &record);

    std::size_t size() const { return hashes_.size(); }

    /** The first servers of the whole order for \a key, in order; a choice seldom needs more. The
     * result is kept for the next call, since a request asks several times with the same key. */
    const std::vector<WeighedServer> &first(std::uint64_t key) const;

    /** The first \a count servers after \a last for which \a wanted returns true, in order. */
    std::vector<WeighedServer> after(std::uint64_t key, const WeighedServer &last,
                                     std::size_t count, const Wanted &wanted) const;

private:
    std::vector<std::uint64_t> hashes_; ///< Hashes of the records, by row.
    std::vector<ServerRecord *> records_;
    /** The key to which \c first_ belongs; nothing: none. */
    mutable std::optional<std::uint64_t> firstKey_;
    mutable std::vector<WeighedServer> first_;
};

/** The servers of a table for which \c wanted returns true, in the order for one key. The order is
 * computed only as far as it is needed. */
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
    /** The current batch; those before next_ were already returned. */
    std::vector<WeighedServer> found_;
    std::size_t next_ = 0;
    std::size_t batch_; ///< Size of the last batch requested.
};

} // namespace limereel::forward
