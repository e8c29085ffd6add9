/** \file
 * The timings of a gateway's feeds, derived from the bounds in its settings.
 */
#pragma once

#include "gateway/ObjectFeed.h"
#include "kernel/GatewaySettings.h"

namespace limereel::gateway {

/** How long a confirmation of the configuration is valid. */
kernel::Duration usableFor(const kernel::GatewaySettings &settings);

/** The timings of the configuration feed. */
FeedPaces configurationPaces(const kernel::GatewaySettings &settings);

/** The timings of the backend server feed. */
FeedPaces serverPaces(const kernel::GatewaySettings &settings);

/** The timings of the feed of drained halls. */
FeedPaces hallDrainPaces(const kernel::GatewaySettings &settings);

/** Boxes in a hall from which on some relay for the others. */
std::size_t minBoxesForRelaying(const kernel::GatewaySettings &settings);

} // namespace limereel::gateway
