/** \file
 * Counts the permits on one resource at its owner. A resource is an engine or an organisation's
 * quota.
 *
 * A permit is a lease. It ends when it is returned or when its router has not renewed it in time,
 * so a lost return or a crashed router doesn't occupy capacity for good. A permit request is
 * recognised by its request id: one that is repeated because the answer was lost is answered again
 * and never counted twice.
 *
 * A box that takes over a resource knows neither what the previous owner granted nor whether that
 * one still grants permits. Until the settle time has passed it adopts the permits that routers
 * renew, and grants only up to the mean load, not up to the bound. (Granting only a fixed part of
 * the bound would do harm: below the mean the pool could not even keep its present load. See
 * docs/design/routing.md.)
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace limereel::routing {

/** The owner's answer to a permit request. */
enum class GrantResult : std::uint8_t { Granted, Full, Unfair, Leaving };

/** Settings of the ledgers, the same for all resources of a box. */
struct PermitPolicy
{
    kernel::Duration lease = 15s; ///< A permit that is not renewed ends after this time.
    kernel::Duration settle = 6s; ///< Settle time after a takeover; more than one renewal period.

    double reservedShare = 0.25; ///< Part of the bound reserved for organisations that hold less
                                 ///< than their fair share.
};

/** A router's request for a permit. */
struct PermitRequest
{
    std::uint64_t request = 0;      ///< Unique for each attempt.
    std::uint64_t router = 0;       ///< Hash of the requesting box.
    std::uint64_t organisation = 0; ///< Hash of the organisation; 0 where fair shares do not apply.
};

/** The bounds in force when a permit request is decided. */
struct Bounds
{
    std::uint32_t bound = 1;         ///< From the mean load; see loadBound().
    std::uint32_t settlingBound = 1; ///< loadBound() for c = 1, in force while a new owner settles.
    std::uint32_t slots = 1;         ///< The resource's own hard limit.
    std::uint32_t unaccountedLoad = 0; ///< Reported by the engine beyond the permits of that time.
};

/** The ledger of one resource. */
class PermitLedger
{
public:
    /**
     * \param owned when this box became the owner.
     * \param takeover whether another box owned the resource before.
     */
    PermitLedger(PermitPolicy policy, kernel::Instant owned, bool takeover);

    GrantResult ask(const PermitRequest &ask, const Bounds &bounds, kernel::Instant now);

    /** Ends the permit of \a request. \return false if there was none. */
    bool giveBack(std::uint64_t request);

    /** Extends a permit; an unknown one, granted by an earlier owner, is adopted. */
    void renew(const PermitRequest &ask, kernel::Instant now);

    /** Ends the permits that weren't renewed in time. \return how many. */
    std::size_t expire(kernel::Instant now);

    /** While set, no new permits are granted; those in force stay valid. */
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
    bool exceedsFairShare(std::uint64_t organisation, std::uint32_t limit) const;
    void add(const PermitRequest &ask, kernel::Instant now);
    void remove(std::unordered_map<std::uint64_t, Permit>::iterator entry);

    PermitPolicy policy_;
    kernel::Instant settledAt_;
    bool leaving_ = false;
    std::unordered_map<std::uint64_t, Permit> permits_;
    std::map<std::uint64_t, std::uint32_t> perOrganisation_;
};

} // namespace limereel::routing
