#include "forward/HallBook.h"

#include <algorithm>

namespace limereel::forward {

void HallSigns::add(const ServerSign &sign)
{
    if (sign.quiet()) {
        quiet_.push_back(sign);
    }
}

std::size_t HallSigns::cutOff(kernel::Duration silence) const
{
    const bool nothingLately = quietFor_ > silence;
    const auto count = std::ranges::count_if(quiet_, [&](const ServerSign &sign) {
        return sign.noResponseAt > heard_ || (nothingLately && sign.silent);
    });
    return static_cast<std::size_t>(count);
}

kernel::Instant HallBook::heard(const std::string &hall) const
{
    const auto place = heard_.find(hall);
    return place == heard_.end() ? kernel::Instant() : place->second;
}

void HallBook::putOff(const std::function<kernel::Duration(kernel::Instant since)> &standstill)
{
    for (auto &[hall, heard] : heard_) {
        heard += standstill(heard);
    }
}

bool HallBook::doubted(const HallSigns &signs) const
{
    return signs.cutOff(policy_.silence) >= policy_.quietServers;
}

std::set<std::string> HallBook::closed(const std::map<std::string, std::size_t> &quietServers,
                                       const SignsOf &signsOf, kernel::Instant now) const
{
    std::set<std::string> closed;
    for (const auto &[hall, count] : quietServers) {
        const auto last = attempts_.find(hall);
        const bool lately = last != attempts_.end() && now - last->second < policy_.trial;
        if (count >= policy_.quietServers && lately && doubted(signsOf(hall))) {
            closed.insert(hall);
        }
    }
    return closed;
}

} // namespace limereel::forward
