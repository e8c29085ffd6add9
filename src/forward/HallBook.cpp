#include "forward/HallBook.h"

#include <algorithm>

namespace limereel::forward {

namespace {

// After this, that connecting brought nothing back is no word on the hall any more.
constexpr kernel::Duration NoResponseKept = 10s;

} // namespace

bool ServerSign::quiet(kernel::Instant now) const
{
    return now - noResponseAt < NoResponseKept || silent;
}

void HallSigns::add(const ServerSign &sign, kernel::Instant now)
{
    heard_ = std::max(heard_, sign.heard);
    quietFor_ = std::min(quietFor_, sign.quietFor);
    if (sign.quiet(now)) {
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
