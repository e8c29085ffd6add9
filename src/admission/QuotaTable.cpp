#include "admission/QuotaTable.h"

#include <algorithm>

namespace limereel::admission {

using kernel::Duration;
using kernel::Instant;
using routing::GrantResult;

namespace {

constexpr double SecondsPerMinute = 60;
constexpr double BurstPart = 1.0 / 6; ///< Part of a minute's requests that may begin at once.
constexpr Duration ForgetAfter = 600s;

} // namespace

QuotaAnswer QuotaTable::ask(std::uint64_t organisation, const QuotaLimits &limits,
                            const routing::PermitRequest &ask, Instant now, std::mt19937_64 &random)
{
    Quota &own = quota(organisation, now);
    if (limits.perMinute != own.perMinute) {
        own.perMinute = limits.perMinute;
        own.starts.setRate(own.perMinute / SecondsPerMinute,
                           std::max(1.0, own.perMinute * BurstPart), now);
    }
    const Duration wait = own.perMinute > 0 ? own.starts.wait(now) : Duration::zero();
    if (wait > Duration::zero()) {
        own.drain.noteRefusal(now);
        return {GrantResult::Full, wait};
    }
    const routing::Bounds bounds{limits.maxConcurrent, limits.maxConcurrent, limits.maxConcurrent,
                                 0};
    const GrantResult result = own.ledger.ask(ask, bounds, now);
    if (result != GrantResult::Granted) {
        own.drain.noteRefusal(now);
        return {result, own.drain.retryDelay(now, random)};
    }
    if (own.perMinute > 0) {
        own.starts.take(now);
    }
    return {result, Duration::zero()};
}

bool QuotaTable::giveBack(std::uint64_t organisation, std::uint64_t request, Instant now)
{
    const auto found = quotas_.find(organisation);
    if (found == quotas_.end()) {
        return false;
    }
    if (found->second.ledger.giveBack(request)) {
        found->second.drain.noteEnd(now);
    }
    return true;
}

void QuotaTable::renew(std::uint64_t organisation, const routing::PermitRequest &ask, Instant now)
{
    quota(organisation, now).ledger.renew(ask, now);
}

std::size_t QuotaTable::expire(Instant now)
{
    std::size_t expired = 0;
    for (auto &[organisation, own] : quotas_) {
        expired += own.ledger.expire(now);
    }
    std::erase_if(quotas_, [now](const auto &entry) {
        return entry.second.ledger.inFlight() == 0 && now - entry.second.lastUsed > ForgetAfter;
    });
    return expired;
}

QuotaTable::Quota &QuotaTable::quota(std::uint64_t organisation, Instant now)
{
    const auto found = quotas_.find(organisation);
    Quota &own =
            found != quotas_.end()
                    ? found->second
                    : quotas_.try_emplace(organisation,
                                          Quota{routing::PermitLedger(policy_, now, false),
                                                TokenBucket(0, 1, now), DrainRate(now), 0, now})
                              .first->second;
    own.lastUsed = now;
    return own;
}

} // namespace limereel::admission
