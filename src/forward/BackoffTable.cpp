#include "forward/BackoffTable.h"

#include <algorithm>

namespace limereel::forward {

kernel::Instant BackoffTable::note(std::uint64_t life, kernel::Duration asked, kernel::Instant now)
{
    kernel::Instant &until = until_[life];
    until = std::max(until, now + std::min(asked, longest_));
    return until;
}

kernel::Instant BackoffTable::until(std::uint64_t life) const
{
    const auto place = until_.find(life);
    return place == until_.end() ? kernel::Instant() : place->second;
}

void BackoffTable::expire(kernel::Instant now)
{
    std::erase_if(until_, [now](const auto &rest) { return rest.second <= now; });
}

} // namespace limereel::forward
