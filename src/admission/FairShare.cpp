#include "admission/FairShare.h"

#include <algorithm>
#include <cmath>

namespace limereel::admission {

bool fairShareAllows(const ShareView &view)
{
    const auto reserved = static_cast<std::uint32_t>(std::floor(view.limit * view.reservedShare));
    if (view.taken + reserved < view.limit) {
        return true;
    }
    // One more organisation than is present is always counted. Otherwise one that is alone could
    // take all the rest, and the next one to arrive would find no slot.
    const std::uint32_t sharers = view.organisations + 1;
    const std::uint32_t share = std::max<std::uint32_t>(1, view.limit / sharers);
    return view.own < share;
}

} // namespace limereel::admission
