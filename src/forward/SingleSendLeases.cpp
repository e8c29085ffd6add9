#include "forward/SingleSendLeases.h"

namespace limereel::forward {

kernel::Duration SingleSendLeases::tryAcquire(const RequestIdentity &request, std::uint64_t ask,
                                              kernel::Instant until, kernel::Instant now)
{
    const auto it = sends_.find(request);
    if (it != sends_.end() && it->second.ask != ask && it->second.until > now) {
        return it->second.until - now;
    }
    sends_[request] = {ask, until};
    return kernel::Duration::zero();
}

void SingleSendLeases::releaseLease(const RequestIdentity &request, std::uint64_t ask)
{
    const auto it = sends_.find(request);
    if (it != sends_.end() && it->second.ask == ask) {
        sends_.erase(it);
    }
}

void SingleSendLeases::expire(kernel::Instant now)
{
    std::erase_if(sends_, [now](const auto &item) { return item.second.until <= now; });
}

} // namespace limereel::forward
