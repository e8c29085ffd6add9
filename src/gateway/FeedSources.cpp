#include "gateway/FeedSources.h"

#include "store/RelayOrder.h"

namespace limereel::gateway {

namespace {

// The first one serves the hall; with three, a hall of which a third of the boxes is turned away by
// the store or has died finds one that works in 26 of 27 cases before each box asks by itself.
constexpr std::size_t Relays = 3;

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
    members_.afterHeartbeat([this] { workOut(); });
    // A box that has just started needs to know whom to ask before its first heartbeat is due.
    members_.onNewStates([this] {
        if (relays_.empty()) {
            workOut();
        }
    });
}

void FeedSources::workOut()
{
    const auto hall = membership::shortHash(context_.settings.hall.hash());
    std::vector<store::RelayCandidate> live;
    if (!members_.leaving()) {
        live.push_back({self(), static_cast<std::uint32_t>(context_.settings.gateway.linkMbps)});
    }
    for (const membership::BoxState &state : members_.states()) {
        const bool works =
                !state.leaving && members_.liveness(state.box) == membership::Liveness::Live;
        if (state.box != self() && state.hall == hall && works && state.address != 0) {
            live.push_back({state.box, state.linkMbps});
        }
    }
    hallBoxes_ = live.size();
    relays_.clear();
    if (hallBoxes_ >= fewest_) {
        relays_ = store::relayOrder(hall, live, Relays);
    }
}

} // namespace limereel::gateway
