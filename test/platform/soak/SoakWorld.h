/** \file
 * What stands around the gateways of a soak: the store behind a proxy for each box, backend servers
 * behind a proxy each, and the configuration with its versions and keys.
 */
#pragma once

#include "platform/RunnerStandin.h"
#include "platform/StoreStandin.h"
#include "platform/soak/LoopbackProxy.h"
#include "platform/soak/SoakFleet.h"
#include "platform/soak/SoakJudge.h"
#include "platform/soak/SoakPlan.h"

#include <array>
#include <memory>
#include <optional>
#include <vector>

namespace limereel::soak {

/** One backend server; the ones that left stay until the end, as their runs count. */
struct SoakServer
{
    std::unique_ptr<standin::RunnerStandin> runner;
    std::unique_ptr<LoopbackProxy> proxy;
    std::size_t judged = 0; ///< Records that the judge has.
    bool listed = false;
    std::string hall;
    bool cold = false;                      ///< By its entry.
    bool slow = false;                      ///< It takes longer than usual.
    std::optional<kernel::Instant> endedAt; ///< A request has ended it.
};

/** The halls in which the soak's servers stand by turns; boxes stand in the first. */
inline constexpr std::array<const char *, 2> ServerHalls = {"hall-0", "hall-1"};

/** The body of a request that ends each server that begins to run it. */
inline constexpr const char *CrashingBody = "the body that ends servers";

/** The id of a part of prompts that does the same. */
inline constexpr const char *CrashingPart = "dead";

/** The surroundings. */
class SoakWorld
{
public:
    SoakWorld(boost::asio::io_context &io, SoakFleet &fleet, const SoakPlan &plan);

    const SoakPlan &plan() const { return plan_; }

    /** More callers than the servers can serve call now. */
    bool rush = false;

    /** Sets how many times longer a request takes at \a server than usual. */
    static void setSlowness(SoakServer &server, int factor);

    /** Puts the next configuration; it takes the changing key away and makes a new one. \return the
     * key that was taken away. */
    std::string nextConfiguration();
    int version() const { return version_; }
    const std::string &changingKey() const { return changingKey_; }

    /** Starts a server and lists it. */
    void addServer();
    void list(const SoakServer &server, const std::string &state);
    void unlist(SoakServer &server);

    /** The operator asks for a hall to be drained, or takes it back; its servers are cold then. */
    void drainHall(const std::string &hall);
    void returnHall(const std::string &hall);

    /** Tells \a judge of all arrivals since the last time. */
    void collect(SoakJudge &judge, kernel::Instant now);

    /** Servers that a request has ended: their entries lapse, and others take their places. */
    void noteEnded(SoakJudge &judge, kernel::Instant now);

    standin::StoreStandin &store() { return *store_; }
    std::vector<std::unique_ptr<LoopbackProxy>> &storeProxies() { return storeProxies_; }
    std::vector<SoakServer> &servers() { return servers_; }

    /** The positions of the servers that are listed. */
    std::vector<std::size_t> listedServers() const;

private:
    std::size_t listedSlots() const;

    boost::asio::io_context &io_;
    std::unique_ptr<standin::StoreStandin> store_;
    std::vector<std::unique_ptr<LoopbackProxy>> storeProxies_;
    std::vector<SoakServer> servers_;
    const SoakPlan plan_;
    const std::size_t scarceSlots_; ///< Of each server; 0: no limit.
    bool started_ = false;          ///< The first servers stand; those that come later are cold.
    int version_ = 0;
    std::string changingKey_;
};

} // namespace limereel::soak
