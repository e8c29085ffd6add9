/** \file
 * The owner's count of what runs on one resource: an engine, or an organisation's quota.
 *
 * A permit is a lease. It ends when it is returned, or when its router has not renewed it in time,
 * so a lost return or a dead router leaves no hole. An ask is recognised by its request id, so an
 * ask whose answer was lost is answered again and never counted twice.
 *
 * A box that takes over doesn't know what the one before granted, nor whether that one still
 * grants. Until the settle time has passed it adopts the permits that routers renew, and grants
 * only up to the mean, not up to the bound. (A fixed part of the bound would do harm: below the
 * mean the pool can't even keep what it carries. See docs/design/routing.md.)
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace limereel::routing {

/** What the owner of a resource answers to an ask. */
enum class GrantResult : std::uint8_t { Granted, Full, Unfair, Leaving };

/** Settings of the ledgers, the same for all resources of a box. */
struct PermitPolicy
{
    kernel::Duration lease = 15s; ///< Without a renewal a permit ends after this.
    kernel::Duration settle = 6s; ///< After a takeover; more than one renewal period.

    double reservedShare =
            0.25; ///< Part of the bound kept for organisations under their fair share.
};

/** One ask for a permit. */
struct PermitRequest
{
    std::uint64_t request = 0;      ///< Unique for each attempt.
    std::uint64_t router = 0;       ///< Hash of the box that asks.
    std::uint64_t organisation = 0; ///< Hash of the organisation; 0 where fairness doesn't matter.
};

/** The bounds in force when the ask is decided. */
struct Bounds
{
    std::uint32_t bound = 1;         ///< From the mean load; see loadBound().
    std::uint32_t settlingBound = 1; ///< The same for c = 1, in force while a new owner settles.
    std::uint32_t slots = 1;         ///< The resource's own hard limit.
    std::uint32_t unaccountedLoad =
            0; ///< What the engine reported beyond the permits of that moment.
};

/** The ledger of one resource. */
class PermitLedger
{
public:
    /** \param owned when this box became the owner. \param takeover whether another one was before
     * it. */
    PermitLedger(PermitPolicy policy, kernel::Instant owned, bool takeover);

    GrantResult ask(const PermitRequest &ask, const Bounds &bounds, kernel::Instant now);

    /** Ends the permit of \a request. \return false if there was none. */
    bool giveBack(std::uint64_t request);

    /** Keeps a permit alive; an unknown one, granted by an earlier owner, is adopted. */
    void renew(const PermitRequest &ask, kernel::Instant now);

    /** Drops what wasn't renewed in time. \return how many. */
    std::size_t expire(kernel::Instant now);

    /** No grants from now on; what runs goes on. */
    void setLeaving(bool leaving) { leaving_ = leaving; }
    bool leaving() const { return leaving_; }

    std::uint32_t inFlight() const { return static_cast<std::uint32_t>(permits_.size()); }
    bool settling(kernel::Instant now) const { return now < settledAt_; }

private:
    struct Permit
    {
        PermitRequest ask;
        kernel::Instant until;
    };

    std::uint32_t limit(const Bounds &bounds, kernel::Instant now) const;
    bool overFairShare(std::uint64_t organisation, std::uint32_t limit) const;
    void add(const PermitRequest &ask, kernel::Instant now);
    void remove(std::unordered_map<std::uint64_t, Permit>::iterator place);

    PermitPolicy policy_;
    kernel::Instant settledAt_;
    bool leaving_ = false;
    std::unordered_map<std::uint64_t, Permit> permits_;
    std::map<std::uint64_t, std::uint32_t> perOrganisation_;
};

} // namespace limereel::routing
