/** \file
 * The backend servers that this box owns: which they are, what their probes say, and the ledgers of
 * their permits.
 *
 * Ownership follows the members of the hall at each heartbeat. A server that passes on to another
 * box is kept until the permits that were granted here have ended, as the next owner can't see them
 * all yet.
 */
#pragma once

#include "membership/BackendHealth.h"
#include "membership/BoxState.h"
#include "routing/LoadBook.h"
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

/** One of them. */
struct OwnedBackend
{
    store::ListedBackend listed;
    routing::PermitLedger ledger;
    membership::BackendHealth health;
    bool leaving = false;
    bool probing = false;
    std::vector<membership::ShortHash> models;
    std::vector<membership::ShortHash> loading;
    std::uint32_t unknownLoad = 0;
    int skips = 0;       ///< Probe rounds passed over since the last probe.
    bool served = false; ///< A request was served since the last round.
};

/** All of them. */
class OwnedBackends
{
public:
    /** \param changed called when a probe finds that a server has become usable or no longer is. */
    OwnedBackends(Context &context, routing::PermitPolicy policy, std::function<void()> changed);

    void start();
    void stop();

    /** Takes over what falls to this box now, and lets go of what no longer does.
     * \param known what was known of the hall until now: the word of the owners before.
     * \param awake by which the leases of permits go. */
    void reconcile(const HallView &known, kernel::Instant awake);

    /** Takes over \a listed, which this box doesn't own yet. */
    void adopt(const store::ListedBackend &listed, const HallView &known, kernel::Instant awake);

    /** The owned one with that hash; nullptr if there is none. Good until the next review(). */
    OwnedBackend *find(std::uint64_t backend);

    /** Ends the permit of \a request, on \a backend or whichever server has it.
     * \return false if none has. */
    bool giveBack(std::uint64_t backend, std::uint64_t request);

    /** Drops permits that weren't renewed in time. \return how many. */
    std::size_t expire(kernel::Instant now);

    /** Notes the permits of this heartbeat, which explain what engines will report.
     * \return the loads by server. */
    routing::OwnLoads noteBeat(kernel::Instant now);

    /** What this box says of its servers to the others. */
    std::vector<membership::BackendState> states() const;
    membership::BackendState stateOf(const OwnedBackend &owned) const;

    /** In flight on those that hold \a model. */
    std::uint32_t load(membership::ShortHash model) const;

    /** Probes one out of turn. */
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
    routing::PermitHistory permitsThen_; ///< Explains what an engine reports.
    std::unique_ptr<PeriodicTask> probeLoop_;
};

} // namespace limereel::services
