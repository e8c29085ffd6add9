#include "forward/ServerHealth.h"

#include <algorithm>

namespace limereel::forward {

namespace {

constexpr kernel::Duration FullPause = 150ms;

} // namespace

const char *text(Failure failure)
{
    switch (failure) {
    case Failure::Unreachable:
        return "unreachable";
    case Failure::NoResponse:
        return "no-response";
    case Failure::Lost:
        return "lost";
    case Failure::Silent:
        return "silent";
    case Failure::Error:
        return "error";
    case Failure::Full:
        break;
    }
    return "full";
}

bool ServerHealth::silent(const ServerRecord &record, kernel::Instant now) const
{
    const kernel::Instant quietSince = std::max(record.lastHeard, record.dueSince);
    const kernel::Duration limit = record.server.engine ? policy_.engineSilence : policy_.silence;
    return record.own > 0 && silence(quietSince, now) > limit;
}

bool ServerHealth::isSuspected(const ServerRecord &record, kernel::Instant now) const
{
    if (now < record.suspectedUntil) {
        return true;
    }
    // After the pause, a suspected server gets one request at a time until one succeeds.
    if (record.failuresInARow > 0 && record.own > 0) {
        return true;
    }
    return silent(record, now);
}

ServerSign ServerHealth::signOf(const ServerRecord &record, kernel::Instant now) const
{
    return {record.noResponseAt, record.unansweredLately(now), silent(record, now)};
}

void ServerHealth::noteFailure(ServerRecord &record, Failure failure, kernel::Instant now) const
{
    if (failure == Failure::Full) {
        record.fullUntil = now + FullPause;
        return;
    }
    if (failure == Failure::NoResponse) {
        record.noResponseAt = now;
    }
    record.noteError(now);
    if (failure == Failure::Error || failure == Failure::Lost) {
        return;
    }
    constexpr std::uint32_t MaxDoublings = 8;
    const std::uint32_t doublings = std::min(record.failuresInARow, MaxDoublings);
    ++record.failuresInARow;
    const kernel::Duration pause = policy_.firstSuspicion * (1U << doublings);
    record.suspectedUntil = now + std::min(pause, policy_.maxSuspicion);
}

kernel::Duration ServerHealth::silence(kernel::Instant since, kernel::Instant now) const
{
    return now - since - stalledFor(since, now);
}

kernel::Duration ServerHealth::stalledFor(kernel::Instant since, kernel::Instant now) const
{
    if (!awakeAt_) {
        return kernel::Duration(0);
    }
    return std::max(kernel::Duration(0), now - std::max(*awakeAt_ + policy_.stallThreshold, since));
}

} // namespace limereel::forward
