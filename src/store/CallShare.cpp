#include "store/CallShare.h"

namespace limereel::store {

CallShare callShare(const PlatformRates &rates, std::size_t routers)
{
    constexpr double RoutersShare = 0.75;
    constexpr double UnknownFleet = 1000;
    const double fleet = routers == 0 ? UnknownFleet : static_cast<double>(routers);
    return {rates.reads * RoutersShare / fleet, rates.writes * RoutersShare / fleet};
}

} // namespace limereel::store
