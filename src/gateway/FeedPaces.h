/** \file
 * The paces of a gateway's feeds, worked out from the bounds of its settings.
 */
#pragma once

#include "gateway/ObjectFeed.h"
#include "kernel/GatewaySettings.h"

namespace limereel::gateway {

/** How long a confirmation of the configuration holds. */
kernel::Duration usableFor(const kernel::GatewaySettings &settings);

/** The paces of the feed of the configuration. */
FeedPaces configurationPaces(const kernel::GatewaySettings &settings);

/** The paces of the feed of the backend servers. */
FeedPaces serverPaces(const kernel::GatewaySettings &settings);

/** The paces of the feed of drained halls. */
FeedPaces hallDrainPaces(const kernel::GatewaySettings &settings);

/** Boxes in a hall from which on some relay for the others. */
std::size_t minBoxesForRelaying(const kernel::GatewaySettings &settings);

} // namespace limereel::gateway
