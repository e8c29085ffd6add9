#include "forward/ServerChoice.h"

#include "forward/PartIndex.h"

#include <algorithm>

namespace limereel::forward {

namespace {

constexpr double LoadBeyondMean = 3;
// Reduces the bound, to allow for what other boxes send at the same moment.
constexpr double BoundMargin = 0.85;
constexpr double OtherHallCost = 0.25;
// Weight of failed answers in a retry. A first failure adds 0.12 to the share of failed answers,
// which then outweighs a server with all slots taken.
constexpr double RetryErrorWeight = 10;

} // namespace

ServerChoice::ServerChoice(const ServerView &view, const ServerPolicy &policy,
                           const ServerRequirements &requirements)
    : view_(view)
    , policy_(policy)
    , requirements_(requirements)
    , usable_(view, requirements)
{
    if (!policy.comparePaces || requirements.prompt != nullptr) {
        return;
    }
    for (const ServerRecord *record : usable_.tracked()) {
        const kernel::Duration pace = record->pace.mean(view.now);
        if (pace > 0s && (bestPace_ == 0s || pace < bestPace_)) {
            bestPace_ = pace;
        }
    }
}

const ServerRecord *ServerChoice::idlest(std::mt19937_64 &random) const
{
    const ServerRecord *untracked = idlestUntracked(random);
    const Candidate tracked = idlestTracked(random);
    if (untracked == nullptr || tracked.record == nullptr) {
        return untracked == nullptr ? tracked.record : untracked;
    }
    return tracked.cost < cost(*untracked) ? tracked.record : untracked;
}

ServerChoice::Candidate ServerChoice::idlestTracked(std::mt19937_64 &random) const
{
    const auto &tracked = usable_.tracked();
    if (tracked.empty()) {
        return {};
    }
    const std::size_t first = random() % tracked.size();
    Candidate best;
    std::size_t equal = 0;
    for (std::size_t step = 0; step < tracked.size(); ++step) {
        const ServerRecord *record = tracked[(first + step) % tracked.size()];
        const double found = cost(*record) + extraTime(*record, random);
        if (best.record == nullptr || found < best.cost) {
            best = {record, found};
            equal = 1;
        } else if (policy_.comparePaces && found == best.cost && random() % ++equal == 0) {
            // Otherwise the server that follows a slow one would get the share of both.
            best.record = record;
        }
    }
    return best;
}

const ServerRecord *ServerChoice::idlestUntracked(std::mt19937_64 &random) const
{
    if (usable_.untracked() == 0) {
        return nullptr;
    }
    const auto &halls = view_.index.halls();
    const auto own = std::ranges::find(halls, policy_.hall) - halls.begin();
    const auto hall = static_cast<HallNumber>(own);
    if (!requirements_.anyHall && usable_.untrackedIn(hall) > 0) {
        return usable_.pickUntrackedIn(hall, random);
    }
    return usable_.pickUntracked(random() % usable_.untracked(), random);
}

double ServerChoice::cost(const ServerRecord &record) const
{
    const double places = std::max<std::uint32_t>(1, record.server.slots);
    const bool preferred = requirements_.anyHall || record.server.hall == policy_.hall;
    const bool retry = policy_.comparePaces && !requirements_.tried.empty();
    return record.load(view_.now) / places
           + record.errorShare(view_.now) * (retry ? RetryErrorWeight : 1)
           + (preferred ? 0 : OtherHallCost);
}

double ServerChoice::slowness(const ServerRecord &record) const
{
    return paceFactor(record.pace.current(view_.now), bestPace_);
}

// In units of one slot's load. A server that is several times slower than the best is exempt from
// it for a part of the requests that is in proportion to its speed: if it were never exempt, it
// would get nothing until the others have a queue.
double ServerChoice::extraTime(const ServerRecord &record, std::mt19937_64 &random) const
{
    const double factor = slowness(record);
    if (factor <= 1 || std::bernoulli_distribution(1 / factor)(random)) {
        return 0;
    }
    return (factor - 1) / std::max<std::uint32_t>(1, record.server.slots);
}

const ServerRecord *ServerChoice::inOrder() const
{
    const ServiceServers *service = view_.index.service(requirements_.service);
    if (service == nullptr) {
        return nullptr;
    }
    CandidateOrder order(service->table, requirements_.order, [this](const ServerRecord &record) {
        return usable_.contains(record) && !full(record);
    });
    const ServerRecord *firstSlow = nullptr;
    while (const ServerRecord *record = order.next()) {
        if (slowness(*record) <= 1) {
            return record;
        }
        firstSlow = firstSlow == nullptr ? record : firstSlow;
    }
    return firstSlow;
}

bool ServerChoice::full(const ServerRecord &record) const
{
    return std::ranges::find(requirements_.full, record.server.id) != requirements_.full.end();
}

const ServerRecord *ServerChoice::forPrompt(const HoldsAll &holdsAll) const
{
    const ServiceServers *service = view_.index.service(requirements_.service);
    if (service == nullptr || usable_.size() == 0) {
        return nullptr;
    }
    const double bound = policy_.loadMultiple * usable_.meanLoad() * BoundMargin + LoadBeyondMean;
    const auto belowBound = [&](const ServerRecord &record) {
        return !full(record) && record.load(view_.now) <= bound;
    };
    CandidateOrder order(service->table, sharedPartsKey(*requirements_.prompt),
                         [this](const ServerRecord &record) { return usable_.contains(record); });
    std::vector<const ServerRecord *> skipped;
    const ServerRecord *first = nullptr; // The first one below the bound.
    while (const ServerRecord *record = order.next()) {
        if (belowBound(*record)) {
            first = first == nullptr ? record : first;
            if (holdsAll(*record)) {
                return record;
            }
        }
        skipped.push_back(record);
        if (first != nullptr && skipped.size() >= policy_.nearHolders) {
            return first;
        }
    }
    if (first != nullptr) {
        return first;
    }
    const auto load = [this](const ServerRecord *record) { return record->load(view_.now); };
    return skipped.empty() ? nullptr : *std::ranges::min_element(skipped, {}, load);
}

// If many boxes want the same parts, the next server in the order would be the next to be
// overloaded. So two are drawn at random and the one with less load, as far as this box knows, is
// taken (Mitzenmacher, 2001).
const ServerRecord *ServerChoice::spread(std::mt19937_64 &random) const
{
    ServerRequirements others = requirements_;
    others.barred.insert(others.barred.end(), requirements_.full.begin(), requirements_.full.end());
    const UsableServers notFull(view_, others);
    const UsableServers &from = notFull.size() == 0 ? usable_ : notFull;
    if (from.size() == 0) {
        return nullptr;
    }
    const auto pick = [&] {
        const std::size_t number = random() % from.size();
        const auto &tracked = from.tracked();
        return number < tracked.size() ? tracked[number]
                                       : from.pickUntracked(number - tracked.size(), random);
    };
    const ServerRecord *one = pick();
    const ServerRecord *other = pick();
    return other->load(view_.now) < one->load(view_.now) ? other : one;
}

} // namespace limereel::forward
