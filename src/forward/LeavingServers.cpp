#include "forward/LeavingServers.h"

namespace limereel::forward {

bool LeavingServers::note(std::uint64_t incarnationKey, kernel::Instant now)
{
    return lastListed_.insert_or_assign(incarnationKey, now).second;
}

void LeavingServers::expire(kernel::Instant now,
                            const std::function<bool(std::uint64_t incarnationKey)> &listed)
{
    for (auto &[incarnationKey, lastListed] : lastListed_) {
        if (listed(incarnationKey)) {
            lastListed = now;
        }
    }
    std::erase_if(lastListed_, [&](const auto &item) { return now - item.second >= keptFor_; });
}

} // namespace limereel::forward
