#include "kernel/decisions/AwakeTime.h"

#include <algorithm>

namespace limereel::kernel {

Instant AwakeTime::at(Instant now)
{
    if (last_) {
        stoodStill_ += std::max(now - *last_ - longest_, Duration::zero());
    }
    last_ = now;
    return now - stoodStill_;
}

} // namespace limereel::kernel
