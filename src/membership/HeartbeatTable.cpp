#include "membership/HeartbeatTable.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace limereel::membership {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr std::int64_t QuartersPerPeriod = 4;
// A box that runs ticks each period; one that neither ticks nor hears for longer than this stood
// still. Twice a period leaves room for ticks that come late on a busy machine.
constexpr std::int64_t PeriodsAwake = 2;

// In order, so that what a message says of each of n boxes is found in n log n steps. A search
// through all for each took a whole core 0.71 ms a message with 1,000 boxes and 5.8 with 3,000;
// this takes 0.08 and 0.9 (limereel-bench --only servers).
std::vector<BoxAge> inOrder(std::vector<BoxAge> ages)
{
    std::ranges::stable_sort(ages, {}, &BoxAge::box);
    return ages;
}

const BoxAge *ageOf(const std::vector<BoxAge> &inOrder, std::uint64_t box)
{
    const auto place = std::ranges::lower_bound(inOrder, shortHash(box), {}, &BoxAge::box);
    return place != inOrder.end() && place->box == shortHash(box) ? &*place : nullptr;
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
    // A box that is neither listed nor heard of is forgotten; the list lags, so a heard one stays.
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
    noteAwake(now);
    std::size_t news = 0;
    for (const BoxState &state : states) {
        news += takeState(state, now) ? 1 : 0;
    }
    const Duration dead = deadAfter();
    if (!states.empty() && states.front().box != self_.box) {
        Peer &sender = peer(states.front().box, now);
        sender.unreachable = false;
        takeSign(sender, now, dead, now);
    }
    const std::vector<BoxAge> told = inOrder(ages);
    for (auto &[box, entry] : peers_) {
        const BoxAge *const age = ageOf(told, box);
        if (age != nullptr && age->age < MaxAge) {
            takeSign(entry, now - policy_.period * age->age / QuartersPerPeriod, dead, now);
        }
    }
    return news;
}

std::vector<BoxState> HeartbeatTable::introductionFor(const std::vector<BoxState> &states,
                                                      const std::vector<BoxAge> &ages, Instant now,
                                                      std::mt19937_64 &random) const
{
    // A greeting is one state, a heartbeat has ages; what has neither form is itself an
    // introduction, which is not answered.
    const bool greeting = states.size() == 1;
    if (states.empty() || (!greeting && ages.empty())) {
        return {};
    }
    const std::vector<BoxAge> told = inOrder(ages);
    const auto known = [&](std::uint64_t box) {
        return std::ranges::find(states, box, &BoxState::box) != states.end()
               || ageOf(told, box) != nullptr;
    };
    std::vector<BoxState> missing;
    for (const auto &[box, entry] : peers_) {
        // Of one who has long been silent the other may rightly know nothing any more, whether this
        // box could have heard it or not.
        const bool sure = entry.heard && now - entry.lastSign <= policy_.suspectAfter / 2;
        if (sure && !known(box)) {
            missing.push_back(entry.state);
        }
    }
    if (missing.empty()) {
        return {};
    }
    std::ranges::shuffle(missing, random);
    const std::size_t most =
            std::max(policy_.statesPerIntroduction, peers_.size() / policy_.introductionDivisor);
    missing.resize(std::min(missing.size(), most));
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
        peer(box, now).unreachable = true;
    }
}

std::vector<HeartbeatMessage> HeartbeatTable::tick(Instant now, std::mt19937_64 &random)
{
    noteAwake(now);
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
    if (entry.unreachable || silent > bounds.suspected) {
        return Liveness::Suspected;
    }
    return now < entry.dampedUntil ? Liveness::Damped : Liveness::Live;
}

// News reach all boxes in a number of periods that grows with the logarithm of how many there are,
// so the bound does, too (as in SWIM). With 8 periods, 1 to 129 of 87,000 pairs of 295 live boxes
// doubted each other in every third period; with 12, none in 200 periods.
Duration HeartbeatTable::suspectAfter() const
{
    constexpr double PeriodsPerLogarithm = 2;
    const double boxes = static_cast<double>(peers_.size() + 1);
    const auto needed = static_cast<std::int64_t>(std::ceil(PeriodsPerLogarithm * std::log(boxes)));
    return std::max<Duration>(policy_.suspectAfter, policy_.period * needed);
}

// A suspected box has two periods to be heard of, however late suspicion comes: with one bound for
// all sizes, what was suspected among 1,000 boxes was dead at once.
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

// While this box stood still, heartbeats lay unread in its socket: that time says nothing of
// others.
Duration HeartbeatTable::silence(const Peer &entry, Instant now) const
{
    return now - entry.lastSign - entry.unheard - standstill(entry, now);
}

Duration HeartbeatTable::standstill(const Peer &entry, Instant now) const
{
    if (!awakeAt_) {
        return Duration(0);
    }
    const Instant awakeUntil = *awakeAt_ + policy_.period * PeriodsAwake;
    return std::max(Duration(0), now - std::max(awakeUntil, entry.lastSign));
}

void HeartbeatTable::noteAwake(Instant now)
{
    for (auto &[box, entry] : peers_) {
        entry.unheard += standstill(entry, now);
    }
    if (awakeAt_ && now > *awakeAt_ + policy_.period * PeriodsAwake) {
        stoodStillUntil_ = now;
    }
    awakeAt_ = now;
}

HeartbeatTable::Peer &HeartbeatTable::peer(std::uint64_t box, Instant now)
{
    const auto [place, added] = peers_.try_emplace(box);
    if (added) {
        place->second.lastSign = now;
        newcomers_.push_back(box);
    }
    return place->second;
}

bool HeartbeatTable::takeState(const BoxState &state, Instant now)
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

void HeartbeatTable::takeSign(Peer &entry, Instant sign, Duration dead, Instant now) const
{
    if (sign <= entry.lastSign) {
        return;
    }
    // A sign that is itself too old to count doesn't bring anybody back.
    const bool wasDead = silence(entry, now) > dead;
    if (wasDead && now - sign <= dead) {
        noteReturn(entry, now);
    }
    entry.lastSign = sign;
    // A sign that others passed on may be older than the own standstill, which still excuses what
    // of it came after the sign.
    entry.unheard = std::min(entry.unheard, std::max(Duration(0), stoodStillUntil_ - sign));
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

// What is said again although it is the same reaches those that missed it.
void HeartbeatTable::renewSelf()
{
    ++sinceTold_;
    // More often, and what is told again would crowd out what is new.
    const std::uint64_t refreshEvery = std::max<std::uint64_t>(policy_.refreshEvery, peers_.size());
    if (self_.version > 0 && self_.equalExceptVersion(told_) && sinceTold_ < refreshEvery) {
        return;
    }
    ++self_.version;
    told_ = self_;
    sinceTold_ = 0;
}

// A round takes half as many periods as there are boxes, so one that is met in its middle is put in
// by chance, as in SWIM. Left for the next round, boxes that few had met when the fleet started
// heard so little for half a minute that they took a seventh of 295 live boxes for dead.
void HeartbeatTable::addNewcomers(std::mt19937_64 &random)
{
    for (const std::uint64_t box : newcomers_) {
        const std::size_t place = random() % (round_.size() + 1);
        round_.insert(round_.begin() + static_cast<std::ptrdiff_t>(place), box);
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

// One message of a period stays in the own hall, where bytes cost nothing: in five halls that are
// half of what heartbeats send between halls. All news still reach all in as many periods, as a
// hall passes on among itself what one of its boxes has heard from elsewhere (MembershipTest).
std::optional<std::uint64_t> HeartbeatTable::neighbourInTurn(std::mt19937_64 &random)
{
    const auto near = [this](std::uint64_t box) {
        const auto place = peers_.find(box);
        return place != peers_.end() && self_.hall != 0 && place->second.state.hall == self_.hall;
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

// What is told to others counts the own standstill, else a box that stood still would bring back
// for them one that died meanwhile.
std::vector<BoxAge> HeartbeatTable::ages(Instant now) const
{
    std::vector<BoxAge> result;
    const Duration quarter = policy_.period / QuartersPerPeriod;
    const Duration dead = deadAfter();
    for (const auto &[box, entry] : peers_) {
        const Duration silent = now - entry.lastSign;
        if (entry.heard && silent <= dead) {
            const auto quarters = (silent + quarter - Duration(1)) / quarter;
            result.push_back({shortHash(box),
                              static_cast<std::uint8_t>(std::min<std::int64_t>(quarters, MaxAge))});
        }
    }
    return result;
}

} // namespace limereel::membership
