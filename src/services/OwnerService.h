/** \file
 * Grants permits for the hall's backend servers that rendezvous hashing assigns to this box, and
 * remembers where the chats whose first candidate it owns have run.
 *
 * It owns organisations' quotas in the same way: a quota is a resource with places, like an engine.
 */
#pragma once

#include "admission/DrainRate.h"
#include "admission/QuotaTable.h"
#include "config/Effective.h"
#include "kernel/decisions/AwakeTime.h"
#include "membership/BoxState.h"
#include "peer/Messages.h"
#include "routing/ChatIndex.h"
#include "routing/LoadTable.h"
#include "routing/PermitLedger.h"
#include "routing/Placement.h"
#include "services/Context.h"
#include "services/HallView.h"
#include "services/OwnedBackends.h"

#include <optional>

namespace limereel::services {

/** The owner's side of permits. */
class OwnerService : public kernel::Service
{
public:
    explicit OwnerService(Context &context);

    std::string_view name() const override { return "owner"; }
    void start() override;
    void stop() override;

    /** Decides on a request for a permit, from this box or another one. */
    peer::PermitAnswer decide(const peer::AskPermit &ask);

    /** Takes back a permit. */
    void take(const peer::GiveBack &giveBack);

    /** Renews the leases of permits. */
    void take(const peer::Renew &renew);

    /** Notes where a chat ran. */
    void take(const peer::Placed &placed);

    /** Requests in flight on the engines of this box that hold \a model. */
    std::uint32_t ownLoad(membership::ShortHash model) const { return backends_.load(model); }

    /** Notes how many requests \a box reports in flight on its engines of \a model. */
    void noteLoad(std::uint64_t box, membership::ShortHash model, std::uint32_t load);

    /** The hall as this box sees it now. The reference is valid until the next call. */
    const HallView &view();

    /** Backend servers owned now. */
    std::size_t owned() const { return backends_.size(); }

private:
    void onHeartbeat();
    kernel::Instant awake();
    bool mayAnswerFor(std::uint64_t resource) const;
    routing::PoolView poolView(membership::ShortHash model,
                               const std::vector<routing::Candidate> &engines);
    std::size_t reportAge() const;
    routing::GrantResult grant(OwnedBackend &owned, const peer::AskPermit &ask);
    peer::PermitAnswer decideHome(const peer::AskPermit &ask);
    peer::PermitAnswer decideEngine(const peer::AskPermit &ask);
    peer::PermitAnswer decideQuota(const peer::AskPermit &ask);
    const config::OrganisationSettings *organisation(std::uint64_t hash) const;
    void remember(const peer::Placed &placed);
    std::uint32_t comeBackMs(admission::DrainRate &drain);

    Context &context_;
    routing::PermitPolicy policy_;
    kernel::AwakeTime awake_; ///< Clock of the permits' leases.
    OwnedBackends backends_;
    admission::QuotaTable quotas_;
    routing::ChatIndex chats_;
    admission::DrainRate drain_;
    routing::LoadTable loads_;
    HallView view_;
    bool viewStale_ = true;
};

} // namespace limereel::services
