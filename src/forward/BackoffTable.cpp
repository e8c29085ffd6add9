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
    const auto it = until_.find(incarnationKey);
    return it == until_.end() ? kernel::Instant() : it->second;
}

void BackoffTable::expire(kernel::Instant now)
{
    std::erase_if(until_, [now](const auto &rest) { return rest.second <= now; });
}

} // namespace limereel::forward
