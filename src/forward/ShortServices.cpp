#include "forward/ShortServices.h"

#include <algorithm>

namespace limereel::forward {

bool ShortServices::isShort(const std::string &service, kernel::Instant now) const
{
    const auto it = shortUntil_.find(service);
    return it != shortUntil_.end() && now < it->second;
}

std::size_t ShortServices::count(kernel::Instant now) const
{
    const auto isShortNow = [now](const auto &entry) { return now < entry.second; };
    return static_cast<std::size_t>(std::ranges::count_if(shortUntil_, isShortNow));
}

void ShortServices::expire(kernel::Instant now)
{
    std::erase_if(shortUntil_, [now](const auto &entry) { return now >= entry.second; });
}

} // namespace limereel::forward
