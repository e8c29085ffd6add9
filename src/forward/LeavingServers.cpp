#include "forward/LeavingServers.h"

namespace limereel::forward {

bool LeavingServers::note(std::uint64_t life, kernel::Instant now)
{
    return needed_.insert_or_assign(life, now).second;
}

void LeavingServers::expire(kernel::Instant now,
                            const std::function<bool(std::uint64_t life)> &listed)
{
    for (auto &[life, needed] : needed_) {
        if (listed(life)) {
            needed = now;
        }
    }
    std::erase_if(needed_, [&](const auto &word) { return now - word.second >= keptFor_; });
}

} // namespace limereel::forward
