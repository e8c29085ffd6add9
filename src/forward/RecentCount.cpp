#include "forward/RecentCount.h"

#include <cmath>

namespace limereel::forward {

double RecentCount::add(kernel::Instant now)
{
    count_ = value(now) + 1;
    at_ = now;
    return count_;
}

double RecentCount::value(kernel::Instant now) const
{
    return count_ * std::exp(-kernel::seconds(now - at_) / kernel::seconds(span_));
}

} // namespace limereel::forward
