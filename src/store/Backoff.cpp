#include "store/Backoff.h"

#include <algorithm>

namespace limereel::store {

kernel::Duration Backoff::fail(std::mt19937_64 &random)
{
    constexpr int MaxDoublings = 20;
    const int doublings = std::min(failures_, MaxDoublings);
    ++failures_;
    const kernel::Duration step = std::min(maxStep_, first_ * (std::int64_t{1} << doublings));
    std::uniform_int_distribution<std::int64_t> jitter(step.count() / 2, step.count());
    return kernel::Duration(jitter(random));
}

} // namespace limereel::store
