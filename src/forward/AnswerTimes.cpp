#include "forward/AnswerTimes.h"

namespace limereel::forward {

namespace {

// The latest answer counts as a tenth, so that the mean follows a change within some ten answers
// and a single slow answer doesn't halve the time for which requests may wait.
constexpr int Smoothing = 10;

} // namespace

void AnswerTimes::note(const std::string &service, kernel::Duration taken)
{
    const auto [mean, isFirst] = means_.try_emplace(service, taken);
    if (!isFirst) {
        mean->second += (taken - mean->second) / Smoothing;
    }
}

kernel::Duration AnswerTimes::usual(const std::string &service) const
{
    const auto mean = means_.find(service);
    return mean == means_.end() ? kernel::Duration(0) : mean->second;
}

} // namespace limereel::forward
