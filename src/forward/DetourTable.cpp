#include "forward/DetourTable.h"

#include <algorithm>

namespace limereel::forward {

namespace {

constexpr std::uint32_t MaxDoublings = 8;

// Up to two of \a boxes, by chance.
std::vector<std::uint64_t> pickTwo(const std::vector<std::uint64_t> &boxes, std::mt19937_64 &random)
{
    if (boxes.size() <= 2) {
        return boxes;
    }
    const std::size_t first = random() % boxes.size();
    const std::size_t second = (first + 1 + random() % (boxes.size() - 1)) % boxes.size();
    return {boxes[first], boxes[second]};
}

} // namespace

std::optional<std::uint64_t> DetourTable::choose(const std::vector<DetourCandidate> &candidates,
                                                 const std::vector<std::uint64_t> &tried,
                                                 kernel::Instant now, std::mt19937_64 &random) const
{
    std::vector<DetourCandidate> usable;
    std::vector<DetourCandidate> lastResort;
    for (const DetourCandidate &candidate : candidates) {
        if (std::ranges::find(tried, candidate.box) != tried.end()) {
            continue;
        }
        if (!isDoubted(candidate.box, now)) {
            usable.push_back(candidate);
        } else if (hasOtherConfiguration(candidate.box)) {
            lastResort.push_back(candidate);
        }
    }
    return leastLoaded(usable.empty() ? lastResort : usable, random);
}

std::optional<std::uint64_t>
DetourTable::leastLoaded(const std::vector<DetourCandidate> &candidates,
                         std::mt19937_64 &random) const
{
    std::vector<std::uint64_t> near;
    std::vector<std::uint64_t> far;
    for (const DetourCandidate &candidate : candidates) {
        (candidate.sameHall ? near : far).push_back(candidate.box);
    }
    std::optional<std::uint64_t> best;
    std::size_t bestCost = 0;
    const auto consider = [&](const std::vector<std::uint64_t> &boxes, std::size_t cost) {
        for (const std::uint64_t box : pickTwo(boxes, random)) {
            const std::size_t found = inFlight(box) + cost;
            if (!best || found < bestCost) {
                best = box;
                bestCost = found;
            }
        }
    };
    consider(near, 0);
    consider(far, OtherHallCost);
    return best;
}

bool DetourTable::isDoubted(std::uint64_t box, kernel::Instant now) const
{
    const auto it = boxes_.find(box);
    return it != boxes_.end() && now < it->second.doubtedUntil;
}

bool DetourTable::hasOtherConfiguration(std::uint64_t box) const
{
    const auto it = boxes_.find(box);
    return it != boxes_.end() && it->second.otherConfiguration;
}

std::size_t DetourTable::inFlight(std::uint64_t box) const
{
    const auto it = boxes_.find(box);
    return it == boxes_.end() ? 0 : it->second.inFlight;
}

void DetourTable::end(std::uint64_t box)
{
    Asked &asked = boxes_[box];
    asked.inFlight -= asked.inFlight > 0 ? 1 : 0;
}

void DetourTable::noteServed(std::uint64_t box)
{
    Asked &asked = boxes_[box];
    asked.failuresInARow = 0;
    asked.doubtedUntil = {};
    asked.otherConfiguration = false;
}

void DetourTable::noteFailed(std::uint64_t box, kernel::Instant now)
{
    Asked &asked = boxes_[box];
    asked.otherConfiguration = false;
    const std::uint32_t doublings = std::min(asked.failuresInARow, MaxDoublings);
    ++asked.failuresInARow;
    asked.doubtedUntil =
            now + std::min<kernel::Duration>(FirstDoubt * (1U << doublings), LongestDoubt);
}

void DetourTable::noteOtherConfiguration(std::uint64_t box, kernel::Instant now)
{
    noteFailed(box, now);
    boxes_[box].otherConfiguration = true;
}

void DetourTable::expire(kernel::Instant now)
{
    std::erase_if(boxes_, [now](const auto &entry) {
        const Asked &asked = entry.second;
        return asked.inFlight == 0 && now >= asked.doubtedUntil + LongestDoubt;
    });
}

} // namespace limereel::forward
