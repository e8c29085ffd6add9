#include "admission/WaitQueue.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace limereel::admission {

using kernel::Duration;
using kernel::Instant;

namespace {

// Shares are multiples of this, so that adding a grant to one is exact and equal shares compare as
// equal.
constexpr double ShareUnit = 1.0 / (1 << 20);
constexpr std::size_t ShareSweepSlack = 64; ///< Shares added between two removals, at least.

bool startsInTime(const Waiting &request, Instant now)
{
    return now <= request.inTimeUntil;
}

/** What goes before the shares of organisations; the smaller goes first. */
auto rankOf(const Waiting &request, Instant now)
{
    return std::tuple(!startsInTime(request, now), request.priority, !request.returning);
}

/** What goes after the shares of organisations; the smaller goes first. */
auto urgencyOf(const Waiting &request)
{
    return std::tuple(request.inTimeUntil, request.usefulUntil, request.request);
}

bool moreUrgent(const Waiting *left, const Waiting *right)
{
    return urgencyOf(*left) < urgencyOf(*right);
}

/** How many of another organisation's requests of equal rank get a place before \a request.
 * \param gap by how much the share of the request's organisation exceeds the other's. Each grant
 * adds one to a share, so the other one has its turn while its share is smaller. */
std::size_t grantsBefore(const Waiting &request, double gap, std::vector<const Waiting *> &others)
{
    if (others.empty() || gap < 0) {
        return 0;
    }
    const auto smaller = std::min(others.size(), static_cast<std::size_t>(std::ceil(gap)));
    const bool tie = gap == std::floor(gap) && smaller < others.size();
    if (!tie) {
        return smaller;
    }
    const auto at = others.begin() + static_cast<std::ptrdiff_t>(smaller);
    std::nth_element(others.begin(), at, others.end(), moreUrgent);
    return smaller + (moreUrgent(*at, &request) ? 1 : 0);
}

} // namespace

std::size_t WaitQueue::ahead(const Waiting &request, Instant now) const
{
    /** What one organisation has in the queue, as far as it matters for the request. */
    struct Count
    {
        std::size_t higher = 0; ///< Of a higher rank.
        std::vector<const Waiting *> equals;
    };
    const auto rank = rankOf(request, now);
    std::size_t before = 0;
    std::size_t ownBefore = 0;
    std::unordered_map<std::uint64_t, Count> counts;
    for (const Waiting &other : waiting_) {
        const auto otherRank = rankOf(other, now);
        if (other.request == request.request || otherRank > rank) {
            continue;
        }
        if (otherRank < rank) {
            ++counts[other.organisation].higher;
            ++before;
        } else if (other.organisation != request.organisation) {
            counts[other.organisation].equals.push_back(&other);
        } else if (urgencyOf(other) < urgencyOf(request)) {
            ++ownBefore;
        }
    }
    const auto shareAfterHigher = [&](std::uint64_t organisation, std::size_t higher) {
        return shareOf(organisation, now) + static_cast<double>(higher);
    };
    const double share = shareAfterHigher(request.organisation, counts[request.organisation].higher)
                         + static_cast<double>(ownBefore);
    before += ownBefore;
    // Within a rank the grants are a merge of the organisations' sequences, by share.
    for (auto &[organisation, count] : counts) {
        const double gap = share - shareAfterHigher(organisation, count.higher);
        before += grantsBefore(request, gap, count.equals);
    }
    return before;
}

std::optional<Waiting> WaitQueue::find(std::uint64_t request) const
{
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&](const Waiting &item) { return item.request == request; });
    return found == waiting_.end() ? std::nullopt : std::optional(*found);
}

void WaitQueue::add(const Waiting &request)
{
    remove(request.request);
    waiting_.push_back(request);
}

bool WaitQueue::remove(std::uint64_t request)
{
    return std::erase_if(waiting_, [&](const Waiting &item) { return item.request == request; })
           > 0;
}

bool WaitQueue::contains(std::uint64_t request) const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [&](const Waiting &item) { return item.request == request; });
}

std::optional<Waiting> WaitQueue::takeNext(Instant now)
{
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const auto key = [&](const Waiting &item) {
        return std::tuple(rankOf(item, now), shareOf(item.organisation, now), urgencyOf(item));
    };
    auto next = waiting_.begin();
    auto nextKey = key(*next);
    for (auto it = std::next(next); it != waiting_.end(); ++it) {
        if (auto itsKey = key(*it); itsKey < nextKey) {
            next = it;
            nextKey = itsKey;
        }
    }
    const Waiting taken = *next;
    waiting_.erase(next);
    return taken;
}

std::optional<Waiting> WaitQueue::takeLast(Instant now)
{
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const auto last = waiting_.begin() + static_cast<std::ptrdiff_t>(order(now).back());
    const Waiting taken = *last;
    waiting_.erase(last);
    return taken;
}

std::size_t WaitQueue::inTime(Instant now) const
{
    return static_cast<std::size_t>(
            std::count_if(waiting_.begin(), waiting_.end(),
                          [&](const Waiting &item) { return startsInTime(item, now); }));
}

std::optional<Instant> WaitQueue::nextLapse(Instant now) const
{
    std::optional<Instant> next;
    for (const Waiting &item : waiting_) {
        const Instant until = startsInTime(item, now) ? item.inTimeUntil : item.usefulUntil;
        const Instant lapse = std::min(until, item.usefulUntil) + Duration(1);
        next = next ? std::min(*next, lapse) : lapse;
    }
    return next;
}

std::vector<Waiting>
WaitQueue::takeUnservable(Instant now, const std::function<Duration(std::size_t ahead)> &waitBehind)
{
    std::vector<Waiting> unservable;
    std::vector<Waiting> kept;
    kept.reserve(waiting_.size());
    for (const std::size_t index : order(now)) {
        const Waiting &item = waiting_[index];
        const bool reachable =
                item.usefulUntil >= now && waitBehind(kept.size()) <= item.usefulUntil - now;
        (reachable ? kept : unservable).push_back(item);
    }
    waiting_ = std::move(kept);
    return unservable;
}

std::vector<Waiting> WaitQueue::takeAll()
{
    std::vector<Waiting> all;
    all.swap(waiting_);
    return all;
}

void WaitQueue::noteGranted(std::uint64_t organisation, Instant now)
{
    shares_[organisation] = {shareOf(organisation, now) + 1, now};
    if (shares_.size() > 2 * sharesSwept_ + ShareSweepSlack) {
        std::erase_if(shares_, [&](const auto &entry) { return shareOf(entry.first, now) == 0; });
        sharesSwept_ = shares_.size();
    }
}

double WaitQueue::shareOf(std::uint64_t organisation, Instant now) const
{
    const auto found = shares_.find(organisation);
    if (found == shares_.end()) {
        return 0;
    }
    const Duration age = std::max(now - found->second.at, Duration::zero());
    const double halfLives = kernel::seconds(age) / kernel::seconds(policy_.shareHalfLife);
    return std::floor(found->second.grants * std::exp2(-halfLives) / ShareUnit) * ShareUnit;
}

std::vector<std::size_t> WaitQueue::order(Instant now) const
{
    std::vector<std::size_t> indices(waiting_.size());
    std::iota(indices.begin(), indices.end(), 0);
    std::sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(rankOf(waiting_[left], now), urgencyOf(waiting_[left]))
               < std::tuple(rankOf(waiting_[right], now), urgencyOf(waiting_[right]));
    });
    // Within a rank the requests of an organisation get their places by urgency, each at the share
    // that its organisation has by then.
    std::unordered_map<std::uint64_t, double> nextShare;
    std::vector<double> shares(waiting_.size());
    for (const std::size_t index : indices) {
        const std::uint64_t organisation = waiting_[index].organisation;
        const auto entry = nextShare.try_emplace(organisation, shareOf(organisation, now)).first;
        shares[index] = entry->second;
        entry->second += 1;
    }
    std::sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(rankOf(waiting_[left], now), shares[left], urgencyOf(waiting_[left]))
               < std::tuple(rankOf(waiting_[right], now), shares[right],
                            urgencyOf(waiting_[right]));
    });
    return indices;
}

} // namespace limereel::admission
