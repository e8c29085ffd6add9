#include "store/Backoff.h"

#include <algorithm>

namespace limereel::store {

kernel::Duration Backoff::fail(std::mt19937_64 &random)
{
    constexpr int MostDoublings = 20;
    const int doublings = std::min(failures_, MostDoublings);
    ++failures_;
    const kernel::Duration step = std::min(most_, first_ * (std::int64_t{1} << doublings));
    std::uniform_int_distribution<std::int64_t> chance(step.count() / 2, step.count());
    return kernel::Duration(chance(random));
}

} // namespace limereel::store
