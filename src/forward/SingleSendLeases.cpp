#include "forward/SingleSendLeases.h"

namespace limereel::forward {

kernel::Duration SingleSendLeases::tryAcquire(const RequestIdentity &request, std::uint64_t ask,
                                              kernel::Instant until, kernel::Instant now)
{
    const auto place = sends_.find(request);
    if (place != sends_.end() && place->second.ask != ask && place->second.until > now) {
        return place->second.until - now;
    }
    sends_[request] = {ask, until};
    return kernel::Duration::zero();
}

void SingleSendLeases::releaseLease(const RequestIdentity &request, std::uint64_t ask)
{
    const auto place = sends_.find(request);
    if (place != sends_.end() && place->second.ask == ask) {
        sends_.erase(place);
    }
}

void SingleSendLeases::expire(kernel::Instant now)
{
    std::erase_if(sends_, [now](const auto &item) { return item.second.until <= now; });
}

} // namespace limereel::forward
