#include "forward/BackoffTable.h"

#include <algorithm>

namespace limereel::forward {

kernel::Instant BackoffTable::note(std::uint64_t incarnationKey, kernel::Duration asked,
                                   kernel::Instant now)
{
    kernel::Instant &until = until_[incarnationKey];
    until = std::max(until, now + std::min(asked, longest_));
    return until;
}

kernel::Instant BackoffTable::until(std::uint64_t incarnationKey) const
{
    const auto place = until_.find(incarnationKey);
    return place == until_.end() ? kernel::Instant() : place->second;
}

void BackoffTable::expire(kernel::Instant now)
{
    std::erase_if(until_, [now](const auto &rest) { return rest.second <= now; });
}

} // namespace limereel::forward
