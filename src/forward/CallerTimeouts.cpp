#include "forward/CallerTimeouts.h"

#include <algorithm>

namespace limereel::forward {

namespace {

// A value that over a third of the callers state is the usual one: while many are refused, up to
// every second request is a repetition, and each of these states another value.
constexpr int VotesFor = 2;
constexpr int VotesAgainst = 1;
constexpr int MostVotes = 200;  ///< As many other values at most replace a former usual one.
constexpr int FewestVotes = 10; ///< With fewer, no value counts as usual.

} // namespace

void CallerTimeouts::note(const std::string &route, kernel::Duration stated)
{
    if (stated <= kernel::Duration::zero()) {
        return;
    }
    Vote &vote = routes_[route];
    if (vote.votes <= 0) {
        vote.usual = stated;
    }
    vote.votes += vote.usual == stated ? VotesFor : -VotesAgainst;
    vote.votes = std::clamp(vote.votes, 0, MostVotes);
}

kernel::Duration CallerTimeouts::sinceFirstTry(const std::string &route,
                                               kernel::Duration stated) const
{
    const auto found = routes_.find(route);
    const bool known = found != routes_.end() && found->second.votes >= FewestVotes;
    if (!known || stated <= kernel::Duration::zero()) {
        return kernel::Duration::zero();
    }
    return std::max(found->second.usual - stated, kernel::Duration::zero());
}

} // namespace limereel::forward
