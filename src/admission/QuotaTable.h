/** \file
 * The limits of organisations, as the owner of their quotas counts them: requests at once and
 * requests a minute in the hall.
 *
 * A quota is a resource with places, so its permits are leases like an engine's. A new owner
 * doesn't settle: the limits are for fairness, and the renewals fill in what runs.
 */
#pragma once

#include "admission/DrainRate.h"
#include "admission/TokenBucket.h"
#include "routing/PermitLedger.h"

#include <cstdint>
#include <random>
#include <unordered_map>

namespace limereel::admission {

/** What an organisation may have in one hall. */
struct QuotaLimits
{
    std::uint32_t maxConcurrent = 1;
    std::uint32_t perMinute = 0; ///< 0: no limit.

    auto operator<=>(const QuotaLimits &) const = default;
};

/** The answer to an ask for a place. */
struct QuotaAnswer
{
    routing::GrantResult result = routing::GrantResult::Full;
    kernel::Duration retryDelay{}; ///< Of a refusal.
};

/** All quotas that a box owns; made when first asked for. */
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

    /** Drops what wasn't renewed in time, and quotas that nobody uses. \return how many permits. */
    std::size_t expire(kernel::Instant now);

private:
    struct Quota
    {
        routing::PermitLedger ledger;
        TokenBucket starts;
        DrainRate drain;
        std::uint32_t perMinute = 0;
        kernel::Instant used;
    };

    Quota &quota(std::uint64_t organisation, kernel::Instant now);

    routing::PermitPolicy policy_;
    std::unordered_map<std::uint64_t, Quota> quotas_;
};

} // namespace limereel::admission
