/** \file
 * What a box knows of the backend servers: which are listed, the load and health of each, and which
 * prompt parts it has been sent. Based on that, it chooses a server for a request.
 *
 * Health is inferred from the requests themselves, since probes are expensive: from failed
 * connection attempts, lost answers, failed answers, and silence while answers are pending
 * (ServerHealth). If several servers of a hall are unresponsive and no bytes came from any of its
 * servers since, the network path to the hall is suspected instead of each server
 * (HallReachability). ServerChoice makes the choice itself.
 *
 * If the chosen server isn't known to hold a prompt's parts, the choice names another one from
 * which it may fetch them, which is cheaper than reading them again.
 *
 * A choice visits the servers that this box used recently and computes a weight from the hash of
 * each other one: 2 us for a plain service of any size, 12 us for an engine among a thousand
 * servers and 30 us among ten thousand, on a whole core (limereel-bench --only servers). Visiting
 * all of them took 0.9 ms and 12 ms.
 */
#pragma once

#include "forward/BackoffTable.h"
#include "forward/HallPreference.h"
#include "forward/HallReachability.h"
#include "forward/LeavingServers.h"
#include "forward/PartIndex.h"
#include "forward/PartSource.h"
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

/** The servers known to one box. Deterministic: callers pass in the current time and the random
 * generator. */
class ServerTable
{
public:
    explicit ServerTable(ServerPolicy policy)
        : policy_(std::move(policy))
        , health_(policy_)
        , halls_({policy_.quietServers, policy_.silence, policy_.hallTrial})
        , parts_(policy_.partRemembered)
        , backoffs_(policy_.maxBackoff)
        , leavingServers_(policy_.leavingKept)
    {
    }

    /** Returns \a listed with \c leaving also set if the server has announced its shutdown itself,
     * and without the version if another one was listed for this incarnation. */
    ListedServer known(ListedServer listed) const;

    /** Adds or updates a listed server. \param since when it was first listed, if this box saw
     * that; one that was listed before counts as old. */
    void put(const ListedServer &server, kernel::Instant since = {});

    /** Removes a server that is no longer listed. */
    void remove(const std::string &id);

    /** Sets the halls whose servers get no new requests. Running ones continue, and other servers
     * may still fetch prompt parts from them. */
    void setDrainedHalls(std::set<std::string> halls) { drainedHalls_ = std::move(halls); }

    /** Sets the region of each hall; servers of other halls belong to no region. */
    void setHallRegions(std::map<std::string, std::string> regions)
    {
        hallRegions_ = std::move(regions);
    }

    /** Whether \a id is listed and may get new requests, regardless of load, backoff and health. */
    bool takesWork(const std::string &id) const;

    /** Whether a request may be sent to this incarnation now, regardless of load and health. */
    bool mayBeSent(const ListedServer &server, kernel::Instant now) const;

    /** What is known of the server that began a stream: without the version if the list has named
     * two for that server. */
    StreamOrigin corrected(StreamOrigin origin) const;

    /** Whether any listed server that gets new requests may continue a stream, regardless of load,
     * backoff and health. */
    bool anyContinues(const StreamOrigin &origin) const;

    /** Calls \a visit for each listed server. */
    void forEach(const std::function<void(const ListedServer &server)> &visit) const;

    /** Whether no server is listed. */
    bool empty() const { return index_.all().empty(); }

    /** The ids of all listed servers. */
    std::vector<std::string> ids() const;

    /** The listed server \a id; nothing if there is none. */
    std::optional<ListedServer> find(const std::string &id) const;

    /** The service of the listed server with this hash; empty if there is none. */
    std::string serviceOf(std::uint64_t hash) const;

    /** Chooses a server that meets \a requirements; nothing if none may be used. */
    std::optional<Choice> choose(const ServerRequirements &requirements, kernel::Instant now,
                                 std::mt19937_64 &random) const;

    /** Determines again which parts the chosen server holds and where it may fetch the others,
     * after more holders were added to \a requirements. */
    void updateSource(const ServerRequirements &requirements, Choice &choice,
                      kernel::Instant now) const;

    /** Whether the chosen server or another one is known to hold all shared parts of the prompt;
     * otherwise the source is a guess. */
    bool sourceKnown(const ServerRequirements &requirements, const Choice &choice,
                     kernel::Instant now) const;

    /** Records that a request is about to be sent to \a id, which may not be connected yet. */
    void noteAttempt(const std::string &id, kernel::Instant now);

    /** Records that a request is sent to \a id, which will then hold the prompt's parts, if there
     * are any. */
    void begin(const std::string &id, const Prompt *prompt, kernel::Instant now);

    /** Records that a request to \a id has ended. */
    void end(const std::string &id);

    /** Records that this process is running; to be called regularly. Time beyond \c
     * ServerPolicy::stallThreshold since the last call is a stall, during which nothing could be
     * received; it doesn't count as silence of servers. */
    void noteAwake(kernel::Instant now);

    /** Records that bytes came from \a id. */
    void noteHeard(const std::string &id, kernel::Instant now);
    void noteLoad(const std::string &id, const ReportedLoad &load, kernel::Instant now);
    void noteSuccess(const std::string &id, kernel::Instant now);
    void noteFailure(const std::string &id, Failure failure, kernel::Instant now);

    /** Records that a good answer of \a id took \a taken, from sending the request to the end of
     * the answer. Used if ServerPolicy::comparePaces is set, for plain servers. */
    void noteAnswerTime(const std::string &id, kernel::Duration taken, kernel::Instant now);

    /** Records that this incarnation of a server asks this box for backoff. */
    void noteBackoff(const ListedServer &server, kernel::Duration asked, kernel::Instant now);

    /** Records that this incarnation of a server announced its shutdown. \return whether that is
     * new. */
    bool noteLeaving(const ListedServer &server, kernel::Instant now);

    /** How long \a id still wants no requests from this box; zero: it asked for no backoff. */
    kernel::Duration backoffLeft(const std::string &id, kernel::Instant now) const;

    /** Whether there are servers that meet \a requirements, but all of them asked for backoff. */
    bool allBackingOff(const ServerRequirements &requirements, kernel::Instant now) const;

    /** Whether the servers of \a service get no more requests than they have slots. A server that
     * gets more may ask for backoff, and then not even its slots are used. */
    bool limitedToSlots(const std::string &service, kernel::Instant now) const;

    /** How long \a id is still considered full, after it rejected a request. */
    kernel::Duration fullLeft(const std::string &id, kernel::Instant now) const;

    /** Sets how many requests of other boxes run at \a id, as reported. */
    void setOthers(const std::string &id, double load, kernel::Instant now);

    /** This box's requests that run on \a service. */
    std::uint32_t ownLoad(const std::string &service) const;

    /** This box's requests that run at \a id. */
    std::uint32_t ownLoadAt(const std::string &id) const;

    /** How many servers of \a service accept new requests. */
    std::size_t serversOf(const std::string &service) const;

    /** The same, and how many of them are in the box's hall. */
    HallServers hallServersOf(const std::string &service) const;

    /** Whether the next request to a plain service may go to any hall, rather than preferably to
     * the box's own one. */
    bool drawAnyHall(const std::string &service, std::mt19937_64 &random) const;

    /** How many servers of the service of the server with this hash accept new requests, itself
     * included. */
    std::size_t serversInSameService(std::uint64_t hash) const;

    /** The server that comes first in the prompt's order, regardless of load; nothing if no server
     * accepts new requests. */
    std::optional<ListedServer> preferredServer(const ServerRequirements &requirements) const;

    /** Whether nothing has come from \a id for too long while answers are pending. */
    bool silent(const std::string &id, kernel::Instant now) const;

    /** Whether \a id is suspected now. */
    bool isSuspected(const std::string &id, kernel::Instant now) const;

    /** The estimated load of \a id: requests that run or wait there. */
    double load(const std::string &id, kernel::Instant now) const;

    /** Whether \a id has fewer requests than slots, as far as this box knows, and hasn't just
     * rejected one. */
    bool hasFreeSlot(const std::string &id, kernel::Instant now) const;

private:
    bool takesWork(const ServerRecord &record) const;
    void setBackoff(ServerRecord &record);
    HallSet allowedHalls(const ServerRequirements &requirements) const;
    HallSet openHalls(const ServerRequirements &requirements) const;
    HallSet closedHalls(kernel::Instant now) const;
    HallSigns signsOf(const std::string &hall, kernel::Instant now) const;
    PartSource partSource(const ServerRequirements &requirements, kernel::Instant now) const;

    ServerPolicy policy_;
    ServerHealth health_;
    ServerIndex index_;
    HallReachability halls_;
    PartIndex parts_;
    BackoffTable backoffs_;
    LeavingServers leavingServers_;
    /** When any server of a service last asked for backoff, by service. */
    std::map<std::string, kernel::Instant> backoffAskedAt_;
    std::set<std::string> drainedHalls_;
    std::map<std::string, std::string> hallRegions_;
};

} // namespace limereel::forward
