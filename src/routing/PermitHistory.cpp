#include "routing/PermitHistory.h"

#include <algorithm>

namespace limereel::routing {

void PermitHistory::note(OwnLoads permits, kernel::Instant now)
{
    entries_.push_front({now, std::move(permits)});
    // The last entry before the period is kept too: it holds the permits at the beginning of the
    // period.
    while (entries_.size() > 1 && now - entries_[entries_.size() - 2].at > kept_) {
        entries_.pop_back();
    }
}

std::uint32_t PermitHistory::maxPermitsSince(std::uint64_t engine, kernel::Instant since) const
{
    std::uint32_t greatest = 0;
    for (const Entry &entry : entries_) {
        const auto found = entry.permits.find(engine);
        greatest = std::max(greatest, found == entry.permits.end() ? 0 : found->second);
        if (entry.at < since) {
            break;
        }
    }
    return greatest;
}

} // namespace limereel::routing
