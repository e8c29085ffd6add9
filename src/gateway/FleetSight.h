/** \file
 * Tells what this box sees of the fleet, for limits that all boxes share.
 */
#pragma once

#include "forward/FleetShare.h"
#include "membership/BoxState.h"
#include "services/Context.h"

#include <set>
#include <vector>

namespace limereel::gateway {

/** What the settings say about the fleet. */
struct ListedFleet
{
    membership::ShortHash ownHall = 0;
    std::set<membership::ShortHash> halls; ///< All halls; empty: not listed, or not published.
    bool others = false;                   ///< Whether there can be other boxes.
};

/** What a box sees that is in contact with other boxes of the halls \a otherHalls, one entry for
 * each box. */
forward::FleetSight fleetSight(const ListedFleet &listed,
                               const std::vector<membership::ShortHash> &otherHalls);

/** What this box sees now. */
forward::FleetSight fleetSight(const services::Context &context);

} // namespace limereel::gateway
