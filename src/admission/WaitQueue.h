/** \file
 * The requests that wait for a place at one backend server, in the order in which they get one.
 *
 * Answers a load that is beyond what a server can run for a while: requests that can still begin in
 * time go before those that can't; then by priority; then callers that return when they were told
 * to; then by max-min fairness, the organisation that was granted the least lately; then the one
 * that has to begin first.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limereel::admission {

/** A request that waits for a place. */
struct Waiting
{
    std::uint64_t request = 0;
    std::uint64_t organisation = 0; ///< 0: none.
    std::uint32_t priority = 0;     ///< 0 goes first.
    bool returning = false;         ///< Its caller was told to return now.
    kernel::Instant inTimeUntil;    ///< If it begins later, its answer misses the objective.
    kernel::Instant usefulUntil;    ///< If it can't begin by then, it is refused.

    auto operator<=>(const Waiting &) const = default;
};

/** The settings of a queue. */
struct WaitQueuePolicy
{
    std::size_t most = 512; ///< Requests that may wait at one server.
    /** Of the grants counted for an organisation's share. With 1 s, an engine's share is a dozen
     * grants, and organisations below their fair share lost up to 14% of their requests to chance;
     * with 10 s up to 10%. */
    kernel::Duration shareHalfLife = 10s;
};

/** The queue of one server. Deterministic: callers pass in the current time. */
class WaitQueue
{
public:
    explicit WaitQueue(WaitQueuePolicy policy = {})
        : policy_(policy)
    {
    }

    std::size_t size() const { return waiting_.size(); }
    bool full() const { return waiting_.size() >= policy_.most; }

    /** How many of the waiting requests would get a place before \a request, if none arrived and
     * each grant counted for the share of its organisation. */
    std::size_t ahead(const Waiting &request, kernel::Instant now) const;

    /** The waiting request with this number. */
    std::optional<Waiting> find(std::uint64_t request) const;

    /** Adds \a request; one that waits already is replaced. */
    void add(const Waiting &request);

    /** Removes a request. \return whether it was waiting. */
    bool remove(std::uint64_t request);

    bool contains(std::uint64_t request) const;

    /** Removes and returns the request that gets the next place; nothing if none waits. */
    std::optional<Waiting> takeNext(kernel::Instant now);

    /** Removes and returns the request that would get its place last; nothing if none waits. */
    std::optional<Waiting> takeLast(kernel::Instant now);

    /** Waiting requests that can still begin in time; they stand before all others. */
    std::size_t inTime(kernel::Instant now) const;

    /** The next time at which a request misses its objective or is no longer useful. */
    std::optional<kernel::Instant> nextLapse(kernel::Instant now) const;

    /** Removes and returns those that can't begin by the time until which they are useful.
     * \param waitBehind the expected wait behind so many others. */
    std::vector<Waiting>
    takeUnservable(kernel::Instant now,
                   const std::function<kernel::Duration(std::size_t ahead)> &waitBehind);

    /** Removes and returns all. */
    std::vector<Waiting> takeAll();

    /** Counts a grant to \a organisation, whether it waited or not. */
    void noteGranted(std::uint64_t organisation, kernel::Instant now);

private:
    struct Share
    {
        double grants = 0;
        kernel::Instant at;
    };

    double shareOf(std::uint64_t organisation, kernel::Instant now) const;
    /** Indices into \c waiting_, in the order in which the requests would get a place. */
    std::vector<std::size_t> order(kernel::Instant now) const;

    WaitQueuePolicy policy_;
    std::vector<Waiting> waiting_;
    std::unordered_map<std::uint64_t, Share> shares_;
    std::size_t sharesSwept_ = 0; ///< Shares left by the latest removal of those that are zero.
};

} // namespace limereel::admission
