/** \file
 * The decisions of a box that owns backend servers: which request gets a place at once, which waits
 * for one, and which is refused and told when to return. Answers a load beyond what the servers can
 * run, where every box on its own can only guess whether there is room.
 *
 * A place is a lease on one slot, so the places of a box that dies come free again. Only the owner
 * of a server counts its places; what it knows is lost with its process. A new owner assumes for a
 * while that what other boxes believe to be running there still is.
 */
#pragma once

#include "admission/AcceptedDemand.h"
#include "admission/ReturnSchedule.h"
#include "admission/ServerCapacity.h"
#include "admission/WaitQueue.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace limereel::admission {

/** A request for a place at a server. */
struct PlaceRequest
{
    std::uint64_t request = 0;
    std::uint64_t server = 0;
    std::uint64_t box = 0;          ///< The box that asks.
    std::uint64_t organisation = 0; ///< 0: none.
    std::uint64_t identity = 0;     ///< What it has in common with its repetition; 0: not known.
    std::uint32_t priority = 0;     ///< 0 goes first.
    std::uint32_t slots = 0;        ///< Slots of the server.
    std::uint32_t seen = 0;         ///< Requests that the asking box believes to run there.
    kernel::Duration wait{};        ///< How long it may wait and still be answered in time.
    kernel::Duration late{};        ///< How long beyond that it is still of use.
    kernel::Duration lease{};       ///< How long it may hold the place; zero: the policy's.

    auto operator<=>(const PlaceRequest &) const = default;
};

/** What becomes of a request for a place. */
enum class Verdict : std::uint8_t { Granted, Queued, Refused };

/** A decision on one request. */
struct Decision
{
    std::uint64_t request = 0;
    std::uint64_t server = 0;
    std::uint64_t box = 0;
    Verdict verdict = Verdict::Refused;
    kernel::Duration expectedWait{}; ///< For a place there, unless granted.
    kernel::Duration comeBack{};     ///< Refused: when the caller should return.
    std::uint32_t load = 0;          ///< Places taken, this one included.
    std::uint32_t limit = 0;         ///< Places that are granted.
    std::uint32_t waiting = 0;       ///< Requests that wait there.

    auto operator<=>(const Decision &) const = default;
};

/** The end of a place, or of the wait for one. */
struct PlaceEnd
{
    std::uint64_t request = 0;
    std::uint64_t server = 0;
    bool unused = false;   ///< Nothing was sent.
    bool rejected = false; ///< The server rejected the request for lack of room.

    auto operator<=>(const PlaceEnd &) const = default;
};

/** The settings of a book. */
struct PlaceBookPolicy
{
    CapacityPolicy capacity;
    WaitQueuePolicy queue;
    ReturnPolicy returns;
    kernel::Duration lease = 20s; ///< How long a place is held that isn't given back.
    /** How long a new owner takes the loads that other boxes believe in for its own. Other boxes
     * learn of a new owner within this time. */
    kernel::Duration settle = 2s;
    kernel::Duration shortestReturn = 50ms; ///< Told where no return is reserved.
    kernel::Duration idleKept = 60s;        ///< How long an unused server is remembered.
};

/** The book of one box. Deterministic: callers pass in the time and the random generator. */
class PlaceBook
{
public:
    explicit PlaceBook(PlaceBookPolicy policy = {})
        : policy_(policy)
    {
    }

    /** Decides a request. A repeated one gets the same decision and is counted once. Decisions on
     * other requests that follow from it are returned by settle(). */
    Decision ask(const PlaceRequest &ask, kernel::Instant now, std::mt19937_64 &random);

    /** Counts a place that was granted by other rules, as for a box of an earlier version. */
    void hold(const PlaceRequest &ask, kernel::Instant now);

    /** Ends a place or a wait. */
    void end(const PlaceEnd &end, kernel::Instant now);

    /** Decides on waiting requests: grants free places and refuses those that can't begin in time.
     * To be called after end() and regularly while any request waits. */
    std::vector<Decision> settle(kernel::Instant now, std::mt19937_64 &random);

    /** Refuses all that wait, as before a planned stop. */
    std::vector<Decision> refuseAll(kernel::Instant now);

    /** Ends the places and waits of a box that has left the fleet. */
    void dropBox(std::uint64_t box, kernel::Instant now);

    /** Ends leases and forgets servers that are no longer used. */
    void expire(kernel::Instant now);

    bool anyWaiting() const;

    /** Whether the request holds a place at \a server or waits for one. */
    bool contains(std::uint64_t server, std::uint64_t request) const;

    /** Places taken at \a server. */
    std::uint32_t load(std::uint64_t server) const;

    /** Requests that run at the server of \a ask, for all that a new owner can know: the places
     * taken, or what other boxes believe if that is more. */
    std::uint32_t believedLoad(const PlaceRequest &ask, kernel::Instant now) const;

private:
    struct Place
    {
        std::uint64_t box = 0;
        kernel::Instant grantedAt;
        kernel::Instant until;
    };

    struct Server
    {
        ServerCapacity capacity;
        WaitQueue queue;
        ReturnSchedule returns;
        std::unordered_map<std::uint64_t, Place> places;       ///< By request.
        std::unordered_map<std::uint64_t, PlaceRequest> asked; ///< Those that wait, by request.
        kernel::Instant firstAsked;
        kernel::Instant lastUsed;
        std::uint32_t seen = 0; ///< Most requests that other boxes believed to run there.
        AcceptedDemand demand;
        std::optional<kernel::Instant> due; ///< Its entry in \c due_.
    };

    using Key = std::pair<std::uint64_t, std::uint64_t>; ///< Server and request.

    /** A request that ended or was refused a short time ago. */
    struct Past
    {
        kernel::Instant at;
        std::optional<Decision> refusal; ///< Nothing: it ended.
        kernel::Duration wait{};         ///< What a refused one allowed.
        kernel::Duration late{};
    };

    Server &serverOf(const PlaceRequest &ask, kernel::Instant now);
    std::uint32_t loadOf(const Server &server, kernel::Instant now) const;
    kernel::Duration waitBehind(const Server &server, std::size_t ahead, kernel::Instant now) const;
    kernel::Duration waitOf(const Server &server, const Waiting &waiting,
                            kernel::Instant now) const;
    static Waiting waitingOf(Server &server, const PlaceRequest &ask, kernel::Instant now);
    static void noteDemand(Server &server, const Waiting &waiting, kernel::Instant now);
    Decision decisionOn(const Server &server, const PlaceRequest &ask, Verdict verdict,
                        kernel::Instant now) const;
    Decision repeated(const Server &server, const PlaceRequest &ask, kernel::Instant now) const;
    Decision grant(Server &server, const PlaceRequest &ask, kernel::Instant now);
    Decision enqueue(Server &server, const PlaceRequest &ask, const Waiting &waiting,
                     kernel::Instant now, std::mt19937_64 &random);
    Decision refuse(Server &server, const PlaceRequest &ask, const Waiting &waiting,
                    kernel::Duration expectedWait, kernel::Instant now, std::mt19937_64 &random);
    void settleServer(Server &server, kernel::Instant now, std::mt19937_64 &random,
                      std::vector<Decision> &decided);
    void schedule(std::uint64_t id, Server &server, kernel::Instant due);
    void remember(const Key &key, const Past &past);
    void forgetOldest();
    std::optional<Decision> answerFromPast(const PlaceRequest &ask, kernel::Instant now) const;

    PlaceBookPolicy policy_;
    std::unordered_map<std::uint64_t, Server> servers_;
    /** When settle() next decides on the queue of a server. */
    std::set<std::pair<kernel::Instant, std::uint64_t>> due_;
    std::vector<Decision> pushedOut_; ///< Refusals by a full queue, for the next settle().
    std::map<Key, Past> past_;
    std::deque<std::pair<kernel::Instant, Key>> pastOrder_; ///< Entries of \c past_ by age.
};

} // namespace limereel::admission
