#include "forward/HallReachability.h"

#include <algorithm>

namespace limereel::forward {

void HallSigns::add(const ServerSign &sign)
{
    if (sign.quiet()) {
        quiet_.push_back(sign);
    }
}

std::size_t HallSigns::countUnreachable(kernel::Duration silence) const
{
    const bool nothingLately = quietFor_ > silence;
    const auto count = std::ranges::count_if(quiet_, [&](const ServerSign &sign) {
        return sign.noResponseAt > heard_ || (nothingLately && sign.silent);
    });
    return static_cast<std::size_t>(count);
}

kernel::Instant HallReachability::heard(const std::string &hall) const
{
    const auto it = heard_.find(hall);
    return it == heard_.end() ? kernel::Instant() : it->second;
}

void HallReachability::shiftTimes(
        const std::function<kernel::Duration(kernel::Instant since)> &stalledFor)
{
    for (auto &[hall, heard] : heard_) {
        heard += stalledFor(heard);
    }
}

bool HallReachability::isSuspected(const HallSigns &signs) const
{
    return signs.countUnreachable(policy_.silence) >= policy_.quietServers;
}

std::set<std::string>
HallReachability::closed(const std::map<std::string, std::size_t> &quietServers,
                         const SignsOf &signsOf, kernel::Instant now) const
{
    std::set<std::string> closed;
    for (const auto &[hall, count] : quietServers) {
        const auto last = attempts_.find(hall);
        const bool lately = last != attempts_.end() && now - last->second < policy_.trial;
        if (count >= policy_.quietServers && lately && isSuspected(signsOf(hall))) {
            closed.insert(hall);
        }
    }
    return closed;
}

} // namespace limereel::forward
