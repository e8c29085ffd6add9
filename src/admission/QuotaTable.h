/** \file
 * Enforces the limits of organisations at the box that owns their quotas: concurrent requests and
 * requests per minute in the hall.
 *
 * A quota is a resource with slots, so its permits are leases like those of an engine. A new owner
 * has no settle time: the limits serve fairness, and renewals soon restore the count of what runs.
 */
#pragma once

#include "admission/DrainRate.h"
#include "admission/TokenBucket.h"
#include "routing/PermitLedger.h"

#include <cstdint>
#include <random>
#include <unordered_map>

namespace limereel::admission {

/** Limits of one organisation in one hall. */
struct QuotaLimits
{
    std::uint32_t maxConcurrent = 1;
    std::uint32_t perMinute = 0; ///< 0: no limit.

    auto operator<=>(const QuotaLimits &) const = default;
};

/** The answer to a permit request on a quota. */
struct QuotaAnswer
{
    routing::GrantResult result = routing::GrantResult::Full;
    kernel::Duration retryDelay{}; ///< Set in a refusal.
};

/** All quotas that a box owns; a quota is created on first use. */
class QuotaTable
{
public:
    explicit QuotaTable(routing::PermitPolicy policy)
        : policy_(policy)
    {
    }

    QuotaAnswer ask(std::uint64_t organisation, const QuotaLimits &limits,
                    const routing::PermitRequest &ask, kernel::Instant now,
                    std::mt19937_64 &random);

    /** Ends a permit. \return false if \a organisation has no quota here. */
    bool giveBack(std::uint64_t organisation, std::uint64_t request, kernel::Instant now);

    void renew(std::uint64_t organisation, const routing::PermitRequest &ask, kernel::Instant now);

    /**
     * Ends permits that weren't renewed in time and drops unused quotas. \return how many permits
     * ended.
     */
    std::size_t expire(kernel::Instant now);

private:
    struct Quota
    {
        routing::PermitLedger ledger;
        TokenBucket starts;
        DrainRate drain;
        std::uint32_t perMinute = 0;
        kernel::Instant lastUsed;
    };

    Quota &quota(std::uint64_t organisation, kernel::Instant now);

    routing::PermitPolicy policy_;
    std::unordered_map<std::uint64_t, Quota> quotas_;
};

} // namespace limereel::admission
