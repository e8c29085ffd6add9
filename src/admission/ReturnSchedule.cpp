#include "admission/ReturnSchedule.h"

#include <algorithm>

namespace limereel::admission {

namespace {

// Assumed while no place has ended: what an engine with 16 slots and answers of 1.5 s frees.
constexpr double UnknownFreedPerSecond = 10;
// Tolerance for rounding errors when parts of a caller are summed over buckets.
constexpr double Rounding = 1e-9;

} // namespace

// If few places come free, a bucket takes less than one caller. The caller then takes up what is
// left of several buckets and is told the last of them.
kernel::Duration ReturnSchedule::promise(std::uint64_t identity, double freedPerSecond,
                                         kernel::Instant inTimeUntil, kernel::Instant now,
                                         std::mt19937_64 &random)
{
    advance(now);
    const double freed = freedPerSecond > 0 ? freedPerSecond : UnknownFreedPerSecond;
    const double perBucket = freed * kernel::seconds(policy_.bucket) * policy_.promisedPart;
    const kernel::Instant soonest = now + policy_.shortest;
    const std::int64_t first = (soonest - firstBucket_) / policy_.bucket;
    const std::int64_t last = policy_.horizon / policy_.bucket - 1;
    const bool roomToRemember = callers_.size() < policy_.most;
    std::int64_t bucket = roomToRemember ? first : last + 1;
    for (double taken = 0; bucket <= last; ++bucket) {
        taken += roomIn(bucket, perBucket);
        if (taken >= 1 - Rounding) {
            break;
        }
    }
    const bool reserved = bucket <= last && identity != 0;
    bucket = std::min(bucket, last);
    const kernel::Instant begin = std::max(soonest, firstBucket_ + bucket * policy_.bucket);
    const kernel::Instant end = firstBucket_ + (bucket + 1) * policy_.bucket;
    std::uniform_int_distribution<kernel::Duration::rep> spread(0, (end - begin).count() - 1);
    const kernel::Instant due = begin + kernel::Duration(spread(random));
    if (reserved) {
        reserve(first, bucket, perBucket);
        callers_.emplace(identity, Caller{due, inTimeUntil});
    }
    return due - now;
}

std::optional<Returning> ReturnSchedule::returns(std::uint64_t identity, kernel::Instant now)
{
    const auto [begin, end] = callers_.equal_range(identity);
    const auto asTold = std::find_if(begin, end, [&](const auto &caller) {
        return caller.second.due <= now && now <= caller.second.due + policy_.grace;
    });
    if (asTold != end) {
        const Returning returning{true, asTold->second.inTimeUntil};
        callers_.erase(asTold);
        return returning;
    }
    const auto early = std::find_if(begin, end, [&](const auto &caller) {
        return now < caller.second.due && !caller.second.cameEarly;
    });
    if (early == end) {
        return std::nullopt;
    }
    early->second.cameEarly = true;
    return Returning{false, early->second.inTimeUntil};
}

void ReturnSchedule::expire(kernel::Instant now)
{
    advance(now);
    std::erase_if(callers_,
                  [&](const auto &caller) { return caller.second.due + policy_.grace < now; });
}

void ReturnSchedule::advance(kernel::Instant now)
{
    while (!promised_.empty() && firstBucket_ + policy_.bucket <= now) {
        promised_.pop_front();
        firstBucket_ += policy_.bucket;
    }
    if (promised_.empty()) {
        firstBucket_ = now;
    }
}

double ReturnSchedule::roomIn(std::int64_t bucket, double perBucket) const
{
    const auto index = static_cast<std::size_t>(bucket);
    const double promised = index < promised_.size() ? promised_[index] : 0;
    return std::max(0.0, perBucket - promised);
}

void ReturnSchedule::reserve(std::int64_t first, std::int64_t last, double perBucket)
{
    const auto size = static_cast<std::size_t>(last) + 1;
    promised_.resize(std::max(promised_.size(), size));
    double left = 1;
    for (std::int64_t bucket = first; bucket <= last; ++bucket) {
        const double taken = std::min(left, roomIn(bucket, perBucket));
        promised_[static_cast<std::size_t>(bucket)] += taken;
        left -= taken;
    }
}

} // namespace limereel::admission
