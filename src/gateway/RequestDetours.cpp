#include "gateway/DetourAttempt.h"
#include "gateway/RequestRun.h"

// The part of a run that goes through other boxes.

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxDetours = 3; ///< Boxes that one request asks.

} // namespace

// A stream may have only few servers left that can continue it, so that they are lost for it before
// the whole service is.
bool RequestRun::wayIsLost() const
{
    return run_.fleetView.isLost(run_.service) || (noWayToVersion_ && detoursTaken_ == 0);
}

// One hop at most: a request of another box's caller is sent straight or not at all.
bool RequestRun::chooseDetour()
{
    detour_.reset();
    const bool may = run_.context.settings.gateway.detours && !servedFor_
                     && detoursTaken_ < MaxDetours && run_.left() >= MinTimeLeft;
    if (may && wayIsLost()) {
        detour_ = detours_.choose(run_.service, triedDetours_);
    }
    return detour_.has_value();
}

asio::awaitable<AttemptEnd> RequestRun::takeDetour()
{
    ++detoursTaken_;
    const std::uint64_t box = detour_->box;
    run_.beginAttempt();
    DetourAttempt attempt(run_, detours_, std::move(*detour_));
    const AttemptEnd end = co_await attempt.run();
    // A box that tells of a run reaches servers; it's the server's answer that didn't come whole.
    if (end != AttemptEnd::MayHaveRun || !run_.sendsThere) {
        triedDetours_.push_back(box);
    }
    co_return end;
}

// Arrivals at servers there count like those that this box has sent. A box of an earlier version
// tells nothing, and may have sent it.
bool RequestRun::mayTryAgainAfterDetour(AttemptEnd end)
{
    if (end == AttemptEnd::Unsent) {
        return true;
    }
    const bool mayHaveRun = end == AttemptEnd::MayHaveRun;
    peer::SendsMade untold;
    untold.runs = mayHaveRun ? 1 : 0;
    untold.rejections = mayHaveRun ? 0 : 1;
    const peer::SendsMade there = run_.sendsThere.value_or(untold);
    if (!mayHaveRun && there.rejections == 0) {
        return true;
    }
    run_.counts.sends += mayHaveRun ? 1 : 0;
    run_.counts.rejected += there.rejections;
    run_.repeatUnused = there.unusedRepeats > 0;
    noteRunElsewhere(there);
    if (run_.stopped() || ranOut()) {
        return false;
    }
    return run_.repeatUnused || mayTryAgain(end);
}

// This box hasn't seen how that server failed.
void RequestRun::noteRunElsewhere(const peer::SendsMade &made)
{
    if (made.lastServer == 0) {
        return;
    }
    run_.lastRunAt = made.lastServer;
    run_.fleetView.servers().forEach([this, &made](const forward::ListedServer &server) {
        if (server.hash() == made.lastServer) {
            selection_.noteTried(server.id);
        }
    });
}

} // namespace limereel::gateway
