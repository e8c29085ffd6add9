#include "store/CallShare.h"

namespace limereel::store {

CallShare callShare(const PlatformRates &rates, std::size_t routers)
{
    constexpr double RoutersPart = 0.75;
    constexpr double UnknownFleet = 1000;
    const double fleet = routers == 0 ? UnknownFleet : static_cast<double>(routers);
    return {rates.reads * RoutersPart / fleet, rates.writes * RoutersPart / fleet};
}

} // namespace limereel::store
