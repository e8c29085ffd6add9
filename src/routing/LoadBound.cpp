#include "routing/LoadBound.h"

#include <algorithm>
#include <cmath>

namespace limereel::routing {

std::uint32_t loadBound(double c, std::uint64_t inFlight, std::uint64_t engines,
                        std::uint32_t floor)
{
    if (engines == 0) {
        return floor;
    }
    const double mean = static_cast<double>(inFlight + 1) / static_cast<double>(engines);
    return std::max(floor, static_cast<std::uint32_t>(std::ceil(c * mean)));
}

} // namespace limereel::routing
