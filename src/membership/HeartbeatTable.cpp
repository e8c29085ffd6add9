#include "membership/HeartbeatTable.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace limereel::membership {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr std::int64_t QuartersPerPeriod = 4;
// A running box ticks in each period. One that has neither ticked nor received anything for longer
// than this was stalled. Two periods tolerate ticks that are late on a busy machine.
constexpr std::int64_t MaxIdlePeriods = 2;

// Sorted, so that the ages of n boxes are found in O(n log n) steps. With a linear search for each
// box, a message took 0.71 ms of CPU time with 1,000 boxes and 5.8 ms with 3,000; this takes 0.08
// ms and 0.9 ms (limereel-bench --only servers).
std::vector<BoxAge> sortedByBox(std::vector<BoxAge> ages)
{
    std::ranges::stable_sort(ages, {}, &BoxAge::box);
    return ages;
}

const BoxAge *findAge(const std::vector<BoxAge> &sortedByBox, std::uint64_t box)
{
    const auto position = std::ranges::lower_bound(sortedByBox, shortHash(box), {}, &BoxAge::box);
    return position != sortedByBox.end() && position->box == shortHash(box) ? &*position : nullptr;
}

} // namespace

HeartbeatTable::HeartbeatTable(HeartbeatPolicy policy, BoxState self)
    : policy_(policy)
    , self_(std::move(self))
{
}

void HeartbeatTable::setSelf(BoxState self)
{
    self.version = self_.version;
    self_ = std::move(self);
}

void HeartbeatTable::setListed(const std::vector<std::uint64_t> &boxes, Instant now)
{
    for (const std::uint64_t box : boxes) {
        if (box != self_.box) {
            peer(box, now);
        }
    }
    // A box that is neither listed nor heard from is dropped. The list lags behind, so a box that
    // is heard from stays.
    const std::set<std::uint64_t> all(boxes.begin(), boxes.end());
    const Duration dead = deadAfter();
    std::erase_if(peers_, [&](const auto &entry) {
        const bool listed = all.contains(entry.first);
        return !listed && silence(entry.second, now) > dead;
    });
}

std::size_t HeartbeatTable::receive(const std::vector<BoxState> &states,
                                    const std::vector<BoxAge> &ages, Instant now)
{
    noteActive(now);
    std::size_t newStates = 0;
    for (const BoxState &state : states) {
        newStates += mergeState(state, now) ? 1 : 0;
    }
    const Duration dead = deadAfter();
    if (!states.empty() && states.front().box != self_.box) {
        Peer &sender = peer(states.front().box, now);
        sender.unreachableUntil = now;
        mergeLastHeard(sender, now, dead, now);
    }
    const std::vector<BoxAge> sortedAges = sortedByBox(ages);
    for (auto &[box, entry] : peers_) {
        const BoxAge *const age = findAge(sortedAges, box);
        if (age != nullptr && age->age < MaxAge) {
            mergeLastHeard(entry, now - policy_.period * age->age / QuartersPerPeriod, dead, now);
        }
    }
    return newStates;
}

std::vector<BoxState> HeartbeatTable::introductionFor(const std::vector<BoxState> &states,
                                                      const std::vector<BoxAge> &ages, Instant now,
                                                      std::mt19937_64 &random) const
{
    // A greeting, by which a box that knows no others contacts a seed, has one state, and a
    // heartbeat has ages. A message with neither form is itself an introduction, which is not
    // answered.
    const bool greeting = states.size() == 1;
    if (states.empty() || (!greeting && ages.empty())) {
        return {};
    }
    const std::vector<BoxAge> sortedAges = sortedByBox(ages);
    const auto known = [&](std::uint64_t box) {
        return std::ranges::find(states, box, &BoxState::box) != states.end()
               || findAge(sortedAges, box) != nullptr;
    };
    std::vector<BoxState> missing;
    for (const auto &[box, entry] : peers_) {
        // The sender may rightly have dropped a box that has been silent for long, so such a box
        // isn't introduced. Stalls of this box are not subtracted from that silence.
        const bool recent = entry.heard && now - entry.lastHeard <= policy_.suspectAfter / 2;
        if (recent && !known(box)) {
            missing.push_back(entry.state);
        }
    }
    if (missing.empty()) {
        return {};
    }
    std::ranges::shuffle(missing, random);
    const std::size_t maxStates =
            std::max(policy_.statesPerIntroduction, peers_.size() / policy_.introductionDivisor);
    missing.resize(std::min(missing.size(), maxStates));
    missing.insert(missing.begin(), self_);
    return missing;
}

std::vector<std::vector<BoxState>>
HeartbeatTable::splitIntoMessages(const std::vector<BoxState> &introduction) const
{
    std::vector<std::vector<BoxState>> messages;
    for (std::size_t first = 1; first < introduction.size();
         first += policy_.statesPerIntroduction) {
        const std::size_t last =
                std::min(first + policy_.statesPerIntroduction, introduction.size());
        std::vector<BoxState> &message = messages.emplace_back();
        message.push_back(introduction.front());
        message.insert(message.end(), introduction.begin() + static_cast<std::ptrdiff_t>(first),
                       introduction.begin() + static_cast<std::ptrdiff_t>(last));
    }
    return messages;
}

void HeartbeatTable::noteUnreachable(std::uint64_t box, Instant now)
{
    if (box != self_.box) {
        peer(box, now).unreachableUntil = now + policy_.unreachableFor;
    }
}

std::vector<HeartbeatMessage> HeartbeatTable::tick(Instant now, std::mt19937_64 &random)
{
    noteActive(now);
    renewSelf();
    countDeaths(now);
    const std::vector<BoxAge> known = ages(now);
    std::vector<HeartbeatMessage> messages;
    for (const std::uint64_t target : targets(random)) {
        messages.push_back({target, statesFor(target), known});
    }
    return messages;
}

Liveness HeartbeatTable::liveness(std::uint64_t box, Instant now) const
{
    if (box == self_.box) {
        return Liveness::Live;
    }
    const auto found = peers_.find(box);
    return found == peers_.end() ? Liveness::Dead : liveness(found->second, bounds(), now);
}

Liveness HeartbeatTable::liveness(const Peer &entry, const Bounds &bounds, Instant now) const
{
    if (!entry.heard) {
        return Liveness::Dead;
    }
    const Duration silent = silence(entry, now);
    if (silent > bounds.dead) {
        return Liveness::Dead;
    }
    if (now < entry.unreachableUntil || silent > bounds.suspected) {
        return Liveness::Suspected;
    }
    return now < entry.dampedUntil ? Liveness::Damped : Liveness::Live;
}

// The number of periods in which a change reaches all boxes grows with the logarithm of their
// number, so this limit does too (as in SWIM). With 8 periods, 1 to 129 of the 87,000 pairs among
// 295 live boxes suspected each other in every third period; with 12, none did in 200 periods.
Duration HeartbeatTable::suspectAfter() const
{
    constexpr double PeriodsPerLogarithm = 2;
    const double boxes = static_cast<double>(peers_.size() + 1);
    const auto needed = static_cast<std::int64_t>(std::ceil(PeriodsPerLogarithm * std::log(boxes)));
    return std::max<Duration>(policy_.suspectAfter, policy_.period * needed);
}

// A suspected box has two periods in which it can be heard from before it is dead, however late it
// was suspected. With one limit for all fleet sizes, a box that was suspected among 1,000 boxes was
// dead at once.
Duration HeartbeatTable::deadAfter() const
{
    constexpr std::int64_t PeriodsSuspected = 2;
    return std::max<Duration>(policy_.deadAfter,
                              suspectAfter() + policy_.period * PeriodsSuspected);
}

std::vector<std::uint64_t> HeartbeatTable::owners(Instant now) const
{
    std::vector<std::uint64_t> result;
    result.reserve(peers_.size() + 1);
    const Bounds all = bounds();
    for (const auto &[box, entry] : peers_) {
        if (!entry.state.leaving && liveness(entry, all, now) == Liveness::Live) {
            result.push_back(box);
        }
    }
    if (!self_.leaving) {
        result.insert(std::ranges::lower_bound(result, self_.box), self_.box);
    }
    return result;
}

std::vector<BoxState> HeartbeatTable::liveStates(Instant now) const
{
    std::vector<BoxState> result = {self_};
    const Bounds all = bounds();
    for (const auto &[box, entry] : peers_) {
        if (liveness(entry, all, now) != Liveness::Dead) {
            result.push_back(entry.state);
        }
    }
    return result;
}

const BoxState *HeartbeatTable::find(std::uint64_t box) const
{
    if (box == self_.box) {
        return &self_;
    }
    const auto found = peers_.find(box);
    return found == peers_.end() || !found->second.heard ? nullptr : &found->second.state;
}

// Time in which this box was stalled doesn't count: the heartbeats of the others lay unread in its
// socket.
Duration HeartbeatTable::silence(const Peer &entry, Instant now) const
{
    return now - entry.lastHeard - entry.stallTime - currentStall(entry, now);
}

Duration HeartbeatTable::currentStall(const Peer &entry, Instant now) const
{
    if (!lastActive_) {
        return Duration(0);
    }
    const Instant activeUntil = *lastActive_ + policy_.period * MaxIdlePeriods;
    return std::max(Duration(0), now - std::max(activeUntil, entry.lastHeard));
}

void HeartbeatTable::noteActive(Instant now)
{
    for (auto &[box, entry] : peers_) {
        entry.stallTime += currentStall(entry, now);
    }
    if (lastActive_ && now > *lastActive_ + policy_.period * MaxIdlePeriods) {
        stalledUntil_ = now;
    }
    lastActive_ = now;
}

HeartbeatTable::Peer &HeartbeatTable::peer(std::uint64_t box, Instant now)
{
    const auto [position, added] = peers_.try_emplace(box);
    if (added) {
        position->second.lastHeard = now;
        newcomers_.push_back(box);
    }
    return position->second;
}

bool HeartbeatTable::mergeState(const BoxState &state, Instant now)
{
    if (state.box == self_.box) {
        return false;
    }
    Peer &entry = peer(state.box, now);
    if (entry.heard && !state.newerThan(entry.state)) {
        return false;
    }
    if (entry.heard && state.incarnation != entry.state.incarnation) {
        noteReturn(entry, now);
    }
    entry.state = state;
    entry.heard = true;
    entry.passedOn = 0;
    return true;
}

void HeartbeatTable::mergeLastHeard(Peer &entry, Instant heardAt, Duration dead, Instant now) const
{
    if (heardAt <= entry.lastHeard) {
        return;
    }
    // A report that is itself too old to count doesn't bring back a dead box.
    const bool wasDead = silence(entry, now) > dead;
    if (wasDead && now - heardAt <= dead) {
        noteReturn(entry, now);
    }
    entry.lastHeard = heardAt;
    // A time reported by others may lie before this box's own stall. The part of the stall after
    // that time still doesn't count as silence.
    entry.stallTime = std::min(entry.stallTime, std::max(Duration(0), stalledUntil_ - heardAt));
}

void HeartbeatTable::noteReturn(Peer &entry, Instant now) const
{
    if (!entry.deathCounted) {
        ++entry.deaths;
    }
    entry.deathCounted = false;
    entry.returned = now;
    // A first return is an ordinary restart and isn't damped.
    if (entry.deaths < 2) {
        return;
    }
    const std::size_t doublings = std::min<std::size_t>(entry.deaths - 2, 10);
    entry.dampedUntil =
            now + std::min(policy_.dampAtMost, policy_.dampFor * (std::int64_t{1} << doublings));
}

void HeartbeatTable::countDeaths(Instant now)
{
    const Duration dead = deadAfter();
    for (auto &[box, entry] : peers_) {
        const Duration silent = silence(entry, now);
        if (entry.heard && !entry.deathCounted && silent > dead) {
            ++entry.deaths;
            entry.deathCounted = true;
        }
        if (entry.deaths > 0 && silent <= dead && now > entry.returned + policy_.forgetAfter) {
            entry.deaths = 0;
        }
    }
    std::erase_if(peers_, [&](const auto &entry) {
        return silence(entry.second, now) > policy_.forgetAfter;
    });
}

// An unchanged state is sent again as a new version from time to time, for boxes that missed it.
void HeartbeatTable::renewSelf()
{
    ++periodsSincePublished_;
    // Sending it again more often would crowd out states that have changed.
    const std::uint64_t refreshEvery = std::max<std::uint64_t>(policy_.refreshEvery, peers_.size());
    if (self_.version > 0 && self_.equalExceptVersion(published_)
        && periodsSincePublished_ < refreshEvery) {
        return;
    }
    ++self_.version;
    published_ = self_;
    periodsSincePublished_ = 0;
}

// A round takes half as many periods as there are boxes, so a box first heard of in the middle of
// one is inserted at a random position, as in SWIM. When it had to wait for the next round, boxes
// that few others knew when the fleet started received so little for half a minute that they took a
// seventh of 295 live boxes for dead.
void HeartbeatTable::addNewcomers(std::mt19937_64 &random)
{
    for (const std::uint64_t box : newcomers_) {
        const std::size_t position = random() % (round_.size() + 1);
        round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(position), box);
    }
    newcomers_.clear();
}

std::vector<std::uint64_t> HeartbeatTable::targets(std::mt19937_64 &random)
{
    addNewcomers(random);
    std::vector<std::uint64_t> chosen;
    const std::size_t wanted = std::min(policy_.fanout, peers_.size());
    if (wanted > 1) {
        if (const auto neighbour = neighbourInTurn(random)) {
            chosen.push_back(*neighbour);
        }
    }
    while (chosen.size() < wanted) {
        if (round_.empty()) {
            for (const auto &[box, entry] : peers_) {
                if (std::ranges::find(chosen, box) == chosen.end()) {
                    round_.push_back(box);
                }
            }
            std::ranges::shuffle(round_, random);
        }
        const std::uint64_t next = round_.back();
        round_.pop_back();
        if (peers_.contains(next) && std::ranges::find(chosen, next) == chosen.end()) {
            chosen.push_back(next);
        }
    }
    return chosen;
}

// One message of each period goes to a box of the own hall, where traffic costs nothing. With five
// halls this halves the heartbeat traffic between halls. Changes still reach all boxes in as many
// periods, as the boxes of a hall pass on to each other what one of them received from another hall
// (MembershipTest).
std::optional<std::uint64_t> HeartbeatTable::neighbourInTurn(std::mt19937_64 &random)
{
    const auto near = [this](std::uint64_t box) {
        const auto position = peers_.find(box);
        return position != peers_.end() && self_.hall != 0
               && position->second.state.hall == self_.hall;
    };
    std::erase_if(neighbours_, [&near](std::uint64_t box) { return !near(box); });
    if (neighbours_.empty()) {
        for (const auto &[box, entry] : peers_) {
            if (near(box)) {
                neighbours_.push_back(box);
            }
        }
        std::ranges::shuffle(neighbours_, random);
    }
    if (neighbours_.empty()) {
        return std::nullopt;
    }
    const std::uint64_t next = neighbours_.back();
    neighbours_.pop_back();
    return next;
}

std::vector<BoxState> HeartbeatTable::statesFor(std::uint64_t target)
{
    std::vector<Peer *> fresh;
    for (auto &[box, entry] : peers_) {
        if (box != target && entry.heard && entry.passedOn < policy_.passOnTimes) {
            fresh.push_back(&entry);
        }
    }
    std::ranges::stable_sort(fresh, {}, &Peer::passedOn);
    fresh.resize(std::min(fresh.size(), policy_.statesPerMessage - 1));
    std::vector<BoxState> states = {self_};
    for (Peer *entry : fresh) {
        ++entry->passedOn;
        states.push_back(entry->state);
    }
    return states;
}

// The ages sent to others include this box's own stall. Otherwise a box that was stalled would make
// others believe that a box which died meanwhile is alive.
std::vector<BoxAge> HeartbeatTable::ages(Instant now) const
{
    std::vector<BoxAge> result;
    const Duration quarter = policy_.period / QuartersPerPeriod;
    const Duration dead = deadAfter();
    for (const auto &[box, entry] : peers_) {
        const Duration silent = now - entry.lastHeard;
        if (entry.heard && silent <= dead) {
            const auto quarters = (silent + quarter - Duration(1)) / quarter;
            result.push_back({shortHash(box),
                              static_cast<std::uint8_t>(std::min<std::int64_t>(quarters, MaxAge))});
        }
    }
    return result;
}

} // namespace limereel::membership
