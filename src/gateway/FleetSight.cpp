#include "gateway/FleetSight.h"

#include "kernel/decisions/Name.h"
#include "services/MembershipService.h"

#include <algorithm>

namespace limereel::gateway {

namespace {

ListedFleet listedFleet(const kernel::BoxSettings &settings)
{
    ListedFleet listed;
    const std::vector<std::string> &seeds = settings.gateway.seeds;
    listed.ownHall = membership::shortHash(settings.hall.hash());
    listed.others = !settings.knownBoxes.empty()
                    || std::ranges::any_of(seeds, [&](const std::string &seed) {
                           return seed != settings.peer.address;
                       });
    // Without seeds the boxes don't publish their halls.
    if (!seeds.empty()) {
        for (const auto &[hall, region] : settings.gateway.hallRegions) {
            listed.halls.insert(membership::shortHash(kernel::hashOf(hall)));
        }
    }
    return listed;
}

} // namespace

forward::FleetSight fleetSight(const ListedFleet &listed,
                               const std::vector<membership::ShortHash> &otherHalls)
{
    const bool alone = !listed.others && otherHalls.empty();
    const bool allHalls = std::ranges::all_of(listed.halls, [&](membership::ShortHash hall) {
        return hall == listed.ownHall || std::ranges::find(otherHalls, hall) != otherHalls.end();
    });
    return {otherHalls.size() + 1, alone || (allHalls && !otherHalls.empty())};
}

forward::FleetSight fleetSight(const services::Context &context)
{
    const auto &members = context.kernel.find<services::MembershipService>("membership");
    const std::vector<std::uint64_t> &owners = members.owners();
    std::vector<membership::ShortHash> otherHalls;
    for (const membership::BoxState &state : members.states()) {
        if (state.box != members.self() && std::ranges::binary_search(owners, state.box)) {
            otherHalls.push_back(state.hall);
        }
    }
    return fleetSight(listedFleet(context.settings), otherHalls);
}

} // namespace limereel::gateway
