#include "forward/MixedVersions.h"

#include <algorithm>

namespace limereel::forward {

namespace {

// A stream that began after the last write before a power loss isn't known.
constexpr kernel::Duration ShortestPause = 100ms;
constexpr double WritesFraction = 0.125;

} // namespace

void MixedVersions::update(const Listed &listed, kernel::Instant now)
{
    for (const auto &[service, versions] : listed) {
        if (versions.size() > 1) {
            until_[service] = now + Kept;
        }
    }
    std::erase_if(until_, [now](const auto &entry) { return entry.second <= now; });
}

bool MixedVersions::isMixed(std::uint64_t service, kernel::Instant now) const
{
    const auto place = until_.find(service);
    return place != until_.end() && now < place->second;
}

bool MixedVersions::any(kernel::Instant now) const
{
    return std::ranges::any_of(until_, [now](const auto &entry) { return now < entry.second; });
}

kernel::Duration archivePause(std::size_t boxes, double writesPerSecond)
{
    const double seconds = static_cast<double>(boxes) / (writesPerSecond * WritesFraction);
    const auto pause =
            std::chrono::duration_cast<kernel::Duration>(std::chrono::duration<double>(seconds));
    return std::max<kernel::Duration>(pause, ShortestPause);
}

} // namespace limereel::forward
