#include "forward/HallPreference.h"

#include <algorithm>

namespace limereel::forward {

// With all callers in the hall, a share p that prefers it and the rest spread evenly over all
// servers, each of its servers gets p * all / own + 1 - p times the mean.
double ownHallShare(const HallServers &servers, double loadMultiple)
{
    if (servers.own == 0 || servers.own >= servers.all) {
        return 1;
    }
    const double ratio = static_cast<double>(servers.all) / static_cast<double>(servers.own);
    return std::clamp((loadMultiple - 1) / (ratio - 1), 0.0, 1.0);
}

} // namespace limereel::forward
