#include "routing/PermitHistory.h"

#include <algorithm>

namespace limereel::routing {

void PermitHistory::note(OwnLoads permits, kernel::Instant now)
{
    beats_.push_front({now, std::move(permits)});
    // The last one from before counts too: it tells what was granted as the time began.
    while (beats_.size() > 1 && now - beats_[beats_.size() - 2].at > kept_) {
        beats_.pop_back();
    }
}

std::uint32_t PermitHistory::maxPermitsSince(std::uint64_t engine, kernel::Instant since) const
{
    std::uint32_t greatest = 0;
    for (const Beat &beat : beats_) {
        const auto place = beat.permits.find(engine);
        greatest = std::max(greatest, place == beat.permits.end() ? 0 : place->second);
        if (beat.at < since) {
            break;
        }
    }
    return greatest;
}

} // namespace limereel::routing
