/** \file
 * What a box knows of the backend servers: which are listed, how loaded and how healthy each is,
 * and which prompt parts it has been sent; and from that the choice of one for a request.
 *
 * Health comes from the requests themselves, since probes are dear: failures to connect, lost
 * answers, failed answers, and silence while answers are due (ServerHealth). Where several servers
 * of a hall say nothing and none of it was heard since, the way to the hall is doubted rather than
 * each server in turn (HallReachability). The choice itself is ServerChoice's.
 *
 * Where a server is not known to hold a prompt's parts, the choice names another one that it may
 * take them from, which is cheaper than reading them again.
 *
 * A choice looks at the servers that this box used lately and weighs the hashes of the others: 2 us
 * for a plain service at any size, 12 us for an engine among a thousand servers and 30 us among ten
 * thousand, on a whole core (limereel-bench --only servers). A walk over all took 0.9 ms and 12 ms.
 */
#pragma once

#include "forward/BackoffTable.h"
#include "forward/HallReachability.h"
#include "forward/LeavingServers.h"
#include "forward/PartIndex.h"
#include "forward/ServerHealth.h"
#include "forward/ServerIndex.h"
#include "forward/ServerRequirements.h"
#include "forward/UsableServers.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace limereel::forward {

/** The book of one box. Pure: time and chance are handed in. */
class ServerTable
{
public:
    explicit ServerTable(ServerPolicy policy)
        : policy_(std::move(policy))
        , health_(policy_)
        , halls_({policy_.quietServers, policy_.silence, policy_.hallTrial})
        , parts_(policy_.partRemembered)
        , rests_(policy_.maxBackoff)
        , leaving_(policy_.leavingKept)
    {
    }

    /** \a listed as it counts: it leaves also if it has said so itself. */
    ListedServer known(ListedServer listed) const;

    /** Takes in a listed server, new or changed. \param since when it was first listed, if that
     * was seen; one that was there before counts as old. */
    void put(const ListedServer &server, kernel::Instant since = {});

    /** A server is listed no more. */
    void remove(const std::string &id);

    /** Servers of these halls get nothing new; what runs there goes on, and others may still take
     * prompt parts from them. */
    void setDrainedHalls(std::set<std::string> halls) { drainedHalls_ = std::move(halls); }

    /** Sets the region of each hall; servers of others are in none. */
    void setHallRegions(std::map<std::string, std::string> regions)
    {
        hallRegions_ = std::move(regions);
    }

    /** Whether \a id is listed and may get new requests, loads, rests and health aside. */
    bool takesWork(const std::string &id) const;

    /** Whether a request may be sent to this life of a server now, loads and health aside. */
    bool mayBeSent(const ListedServer &server, kernel::Instant now) const;

    /** Calls \a visit for each listed server. */
    void forEach(const std::function<void(const ListedServer &server)> &visit) const;

    /** The ids of all listed servers. */
    std::vector<std::string> ids() const;

    /** The listed server \a id; nothing if there is none. */
    std::optional<ListedServer> find(const std::string &id) const;

    /** The server for \a wish; nothing if none may be used. */
    std::optional<Choice> choose(const ServerRequirements &requirements, kernel::Instant now,
                                 std::mt19937_64 &random) const;

    /** Works out anew what the chosen server holds and takes, as \a wish has come to know more
     * holders since. */
    void updateSource(const ServerRequirements &requirements, Choice &choice,
                      kernel::Instant now) const;

    /** Whether a server other than the chosen one is known to hold all shared parts of the prompt,
     * or the chosen one is itself; else the source is a guess. */
    bool sourceKnown(const ServerRequirements &requirements, const Choice &choice,
                     kernel::Instant now) const;

    /** A request is about to be tried at \a id, connected or not. */
    void noteAttempt(const std::string &id, kernel::Instant now);

    /** A request goes to \a id; with a prompt, its parts will lie there. */
    void begin(const std::string &id, const Prompt *prompt, kernel::Instant now);

    /** The request is over. */
    void end(const std::string &id);

    /** The box runs; to be called regularly. Time beyond \c ServerPolicy::awake since the last call
     * is a standstill, in which nothing could be heard: it doesn't count as silence of servers. */
    void noteAwake(kernel::Instant now);

    /** Bytes came from \a id. */
    void noteHeard(const std::string &id, kernel::Instant now);
    void noteLoad(const std::string &id, const ReportedLoad &load, kernel::Instant now);
    void noteSuccess(const std::string &id, kernel::Instant now);
    void noteFailure(const std::string &id, Failure failure, kernel::Instant now);

    /** This life of a server asks this box for rest. */
    void noteBackoff(const ListedServer &server, kernel::Duration asked, kernel::Instant now);

    /** This life of a server says that it leaves. \return whether that is news. */
    bool noteLeaving(const ListedServer &server, kernel::Instant now);

    /** For how long \a id still wants nothing from this box; zero: it doesn't rest. */
    kernel::Duration backoffLeft(const std::string &id, kernel::Instant now) const;

    /** Whether there are servers that could take \a wish, but that all of them rest. */
    bool allBackingOff(const ServerRequirements &requirements, kernel::Instant now) const;

    /** Whether the servers of \a service get no more than they have places. A server that is sent
     * more may ask for rest, and then not even its places are used. */
    bool limitedToSlots(const std::string &service, kernel::Instant now) const;

    /** For how long \a id is still taken for full, as it turned a request away. */
    kernel::Duration fullLeft(const std::string &id, kernel::Instant now) const;

    /** Requests of other boxes that run at \a id, as they tell. */
    void setOthers(const std::string &id, double load, kernel::Instant now);

    /** This box's requests on \a service. */
    std::uint32_t ownLoad(const std::string &service) const;

    /** This box's requests at \a id. */
    std::uint32_t ownLoadAt(const std::string &id) const;

    /** How many servers of the same service take work, the one with this hash included. */
    std::size_t serversInSameService(std::uint64_t hash) const;

    /** The server that a prompt asks for first, loads aside; nothing without one that takes work.
     */
    std::optional<ListedServer> preferredServer(const ServerRequirements &requirements) const;

    /** Whether nothing has come from \a id for too long while answers are due. */
    bool silent(const std::string &id, kernel::Instant now) const;

    /** Whether \a id is doubted now. */
    bool isSuspected(const std::string &id, kernel::Instant now) const;

    /** The estimated load of \a id: requests that run or wait there. */
    double load(const std::string &id, kernel::Instant now) const;

private:
    bool takesWork(const ServerRecord &record) const;
    void setRest(ServerRecord &record);
    HallSet allowedHalls(const ServerRequirements &requirements) const;
    HallSet openHalls(const ServerRequirements &requirements) const;
    HallSet closedHalls(kernel::Instant now) const;
    HallSigns signsOf(const std::string &hall, kernel::Instant now) const;
    bool holdsAll(const ServerRecord &record, const ServerRequirements &requirements,
                  kernel::Instant now) const;
    const ServerRecord *namedGiver(const std::vector<std::uint32_t> &named,
                                   const std::function<bool(const ServerRecord &)> &mayGive) const;
    const ServerRecord *guessedGiver(const ServerRequirements &requirements,
                                     const std::function<bool(const ServerRecord &)> &mayGive,
                                     kernel::Instant now) const;
    std::optional<kernel::Endpoint> sourceFor(const ServerRecord &target,
                                              const ServerRequirements &requirements,
                                              std::size_t held, kernel::Instant now) const;

    ServerPolicy policy_;
    ServerHealth health_;
    ServerIndex index_;
    HallReachability halls_;
    PartIndex parts_;
    BackoffTable rests_;
    LeavingServers leaving_;
    std::map<std::string, kernel::Instant> restAskedAt_; ///< By service, of any of its servers.
    std::set<std::string> drainedHalls_;
    std::map<std::string, std::string> hallRegions_;
};

} // namespace limereel::forward
