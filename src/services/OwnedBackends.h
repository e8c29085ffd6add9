/** \file
 * The backend servers that this box owns: which they are, the results of their probes, and the
 * ledgers of their permits.
 *
 * Ownership is updated from the members of the hall at each heartbeat. A server that another box
 * owns from now on is kept until the permits that were granted here have ended, as the next owner
 * doesn't know all of them yet.
 */
#pragma once

#include "membership/BackendHealth.h"
#include "membership/BoxState.h"
#include "routing/LoadTable.h"
#include "routing/PermitHistory.h"
#include "routing/PermitLedger.h"
#include "services/Context.h"
#include "services/HallView.h"
#include "services/PeriodicTask.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace limereel::services {

/** A backend server that this box owns. */
struct OwnedBackend
{
    store::ListedBackend listed;
    routing::PermitLedger ledger;
    membership::BackendHealth health;
    bool leaving = false;
    bool probing = false;
    std::vector<membership::ShortHash> models;
    std::vector<membership::ShortHash> loading;
    std::uint32_t unaccountedLoad = 0;
    int skips = 0;       ///< Probe rounds skipped since the last probe.
    bool served = false; ///< A request was served since the last probe round.
};

/** All backend servers that this box owns. */
class OwnedBackends
{
public:
    /** \param changed called when a probe finds that a server has become usable or no longer is. */
    OwnedBackends(Context &context, routing::PermitPolicy policy, std::function<void()> changed);

    void start();
    void stop();

    /** Takes over the servers that this box owns from now on, and drops those of other owners.
     * \param known the hall as it was known until now, with the previous owners' reports.
     * \param awake the time by which the leases of permits run. */
    void reconcile(const HallView &known, kernel::Instant awake);

    /** Takes over \a listed, which this box doesn't own yet. */
    void adopt(const store::ListedBackend &listed, const HallView &known, kernel::Instant awake);

    /** The owned server with this hash; nullptr if there is none. Valid until the next review(). */
    OwnedBackend *find(std::uint64_t backend);

    /** Ends the permit of \a request on \a backend or, if it isn't there, on another owned server.
     * \return false if there is no such permit. */
    bool giveBack(std::uint64_t backend, std::uint64_t request);

    /** Drops permits that weren't renewed in time. \return how many. */
    std::size_t expire(kernel::Instant now);

    /** Notes the permits at this heartbeat, to be compared with loads that engines report later.
     * \return the loads by server. */
    routing::OwnLoads noteBeat(kernel::Instant now);

    /** What this box reports of its servers to the other boxes. */
    std::vector<membership::BackendState> states() const;
    membership::BackendState stateOf(const OwnedBackend &owned) const;

    /** Requests in flight on the owned servers that hold \a model. */
    std::uint32_t load(membership::ShortHash model) const;

    /** Probes \a backend at once, without waiting for the next round. */
    void probeNow(std::uint64_t backend);

    std::size_t size() const { return backends_.size(); }

private:
    boost::asio::awaitable<kernel::Duration> probeRound();
    boost::asio::awaitable<void> probe(std::uint64_t backend);
    void takeProbe(OwnedBackend &owned, const std::string &body, kernel::Instant asked);

    Context &context_;
    routing::PermitPolicy policy_;
    std::function<void()> changed_;
    std::map<std::uint64_t, OwnedBackend> backends_;
    routing::PermitHistory
            pastPermits_; ///< Past permits, compared with the loads that engines report.
    std::unique_ptr<PeriodicTask> probeLoop_;
};

} // namespace limereel::services
