#include "forward/ServiceReach.h"

#include <algorithm>

namespace limereel::forward {

std::size_t ServiceReach::countRecent(const FailedAt &failedAt, kernel::Instant now)
{
    const auto count = std::ranges::count_if(
            failedAt, [now](const auto &failure) { return now - failure.second < Kept; });
    return static_cast<std::size_t>(count);
}

void ServiceReach::noteUnreached(const std::string &service, std::uint64_t server,
                                 kernel::Instant now)
{
    FailedAt &failedAt = failures_[service];
    std::erase_if(failedAt, [now](const auto &failure) { return now - failure.second >= Kept; });
    failedAt[server] = now;
}

bool ServiceReach::isLost(const std::string &service, std::size_t listed, kernel::Instant now) const
{
    const auto it = failures_.find(service);
    if (it == failures_.end() || listed == 0) {
        return false;
    }
    return countRecent(it->second, now) >= std::min(Quorum, listed);
}

std::vector<std::string> ServiceReach::doubtful(kernel::Instant now) const
{
    std::vector<std::string> services;
    for (const auto &[service, failedAt] : failures_) {
        if (countRecent(failedAt, now) > 0) {
            services.push_back(service);
        }
    }
    return services;
}

} // namespace limereel::forward
