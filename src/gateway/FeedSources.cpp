#include "gateway/FeedSources.h"

#include "store/RelayOrder.h"

namespace limereel::gateway {

namespace {

// The first one serves the hall. With three, a hall in which a third of the boxes has failed or is
// refused by the store finds a working relay in 26 of 27 cases before each box asks by itself.
constexpr std::size_t RelayCount = 3;

} // namespace

FeedSources::FeedSources(services::Context &context, std::size_t fewest)
    : context_(context)
    , members_(context.kernel.find<services::MembershipService>("membership"))
    , fewest_(fewest)
{
    members_.beforeHeartbeat([this](membership::BoxState &state) {
        state.hall = membership::shortHash(context_.settings.hall.hash());
        state.linkMbps = static_cast<std::uint32_t>(context_.settings.gateway.linkMbps);
    });
    members_.afterHeartbeat([this] { updateRelays(); });
    // A box that has just started needs its relays before its first heartbeat is due.
    members_.onNewStates([this] {
        if (relays_.empty()) {
            updateRelays();
        }
    });
}

void FeedSources::updateRelays()
{
    const auto hall = membership::shortHash(context_.settings.hall.hash());
    std::vector<store::RelayCandidate> candidates;
    if (!members_.leaving()) {
        candidates.push_back(
                {self(), static_cast<std::uint32_t>(context_.settings.gateway.linkMbps)});
    }
    for (const membership::BoxState &state : members_.states()) {
        const bool works =
                !state.leaving && members_.liveness(state.box) == membership::Liveness::Live;
        if (state.box != self() && state.hall == hall && works && state.address != 0) {
            candidates.push_back({state.box, state.linkMbps});
        }
    }
    hallBoxes_ = candidates.size();
    relays_.clear();
    if (hallBoxes_ >= fewest_) {
        relays_ = store::relayOrder(hall, candidates, RelayCount);
    }
}

} // namespace limereel::gateway
