#include "platform/soak/RepeatJudge.h"

#include <algorithm>

namespace limereel::soak {

namespace {

// How many of the sorted \a moments lie in the window.
std::size_t countIn(const std::vector<kernel::Instant> &moments, kernel::Instant begin,
                    kernel::Duration window)
{
    const auto first = std::ranges::lower_bound(moments, begin);
    const auto end = std::ranges::lower_bound(moments, begin + window);
    return static_cast<std::size_t>(end - first);
}

} // namespace

void RepeatJudge::noteArrival(const std::string &id, kernel::Instant at)
{
    if (!arrived_.insert(id).second) {
        repeats_.push_back(at);
    }
}

// A window that begins at no repeat has no more of them than the one that begins at its first.
RepeatWindow RepeatJudge::worst() const
{
    std::vector<kernel::Instant> requests = requests_;
    std::vector<kernel::Instant> repeats = repeats_;
    std::ranges::sort(requests);
    std::ranges::sort(repeats);
    RepeatWindow worst;
    worst.allowed = bound_.slack;
    const kernel::Duration window = bound_.window;
    for (const kernel::Instant begin : repeats) {
        RepeatWindow found;
        found.begin = begin;
        found.repeats = countIn(repeats, begin, window);
        found.requests = std::max({countIn(requests, begin, window),
                                   countIn(requests, begin - window, window),
                                   countIn(requests, begin - window / 2, window)});
        found.allowed = bound_.ratio * static_cast<double>(found.requests) + bound_.slack;
        if (worst.repeats == 0 || found.room() < worst.room()) {
            worst = found;
        }
    }
    return worst;
}

} // namespace limereel::soak
