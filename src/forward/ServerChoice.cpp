#include "forward/ServerChoice.h"

#include "forward/PartIndex.h"

#include <algorithm>

namespace limereel::forward {

namespace {

constexpr double LoadBeyondMean = 3;
// The bound that is kept leaves room for what other boxes do at the same moment.
constexpr double BoundPart = 0.85;
constexpr double OtherHallCost = 0.25;

} // namespace

const ServerRecord *ServerChoice::idlest(std::mt19937_64 &random) const
{
    const ServerRecord *unused = idlestUnused(random);
    const ServerRecord *noted = idlestNoted(random);
    if (unused == nullptr || noted == nullptr) {
        return unused == nullptr ? noted : unused;
    }
    return cost(*noted) < cost(*unused) ? noted : unused;
}

const ServerRecord *ServerChoice::idlestNoted(std::mt19937_64 &random) const
{
    const auto &noted = usable_.noted();
    if (noted.empty()) {
        return nullptr;
    }
    const std::size_t first = random() % noted.size();
    const ServerRecord *best = noted[first];
    double least = cost(*best);
    for (std::size_t step = 1; step < noted.size(); ++step) {
        const ServerRecord *record = noted[(first + step) % noted.size()];
        if (const double found = cost(*record); found < least) {
            best = record;
            least = found;
        }
    }
    return best;
}

const ServerRecord *ServerChoice::idlestUnused(std::mt19937_64 &random) const
{
    if (usable_.unused() == 0) {
        return nullptr;
    }
    const auto &halls = view_.index.halls();
    const auto own = std::ranges::find(halls, policy_.hall) - halls.begin();
    const auto hall = static_cast<HallNumber>(own);
    if (usable_.unusedIn(hall) > 0) {
        return usable_.pickUnusedIn(hall, random);
    }
    return usable_.pickUnused(random() % usable_.unused(), random);
}

double ServerChoice::cost(const ServerRecord &record) const
{
    const double places = std::max<std::uint32_t>(1, record.server.slots);
    const bool near = record.server.hall == policy_.hall;
    return record.load(view_.now) / places + record.errorShare(view_.now)
           + (near ? 0 : OtherHallCost);
}

bool ServerChoice::full(const ServerRecord &record) const
{
    return std::ranges::find(wish_.full, record.server.id) != wish_.full.end();
}

const ServerRecord *ServerChoice::forPrompt(const HoldsAll &holdsAll) const
{
    const ServiceServers *service = view_.index.service(wish_.service);
    if (service == nullptr || usable_.size() == 0) {
        return nullptr;
    }
    const double bound = policy_.loadMultiple * usable_.meanLoad() * BoundPart + LoadBeyondMean;
    const auto hasRoom = [&](const ServerRecord &record) {
        return !full(record) && record.load(view_.now) <= bound;
    };
    CandidateOrder order(service->table, sharedPartsKey(*wish_.prompt),
                         [this](const ServerRecord &record) { return usable_.contains(record); });
    std::vector<const ServerRecord *> passed;
    const ServerRecord *first = nullptr; // That has room.
    while (const ServerRecord *record = order.next()) {
        if (hasRoom(*record)) {
            first = first == nullptr ? record : first;
            if (holdsAll(*record)) {
                return record;
            }
        }
        passed.push_back(record);
        if (first != nullptr && passed.size() >= policy_.nearHolders) {
            return first;
        }
    }
    if (first != nullptr) {
        return first;
    }
    const auto load = [this](const ServerRecord *record) { return record->load(view_.now); };
    return passed.empty() ? nullptr : *std::ranges::min_element(passed, {}, load);
}

// For parts that everybody wants, the next in the order would only be the next to be overrun. Of
// two by chance the less loaded one, as far as this box knows (Mitzenmacher, 2001).
const ServerRecord *ServerChoice::spread(std::mt19937_64 &random) const
{
    Wish others = wish_;
    others.barred.insert(others.barred.end(), wish_.full.begin(), wish_.full.end());
    const UsableServers notFull(view_, others);
    const UsableServers &from = notFull.size() == 0 ? usable_ : notFull;
    if (from.size() == 0) {
        return nullptr;
    }
    const auto pick = [&] {
        const std::size_t number = random() % from.size();
        const auto &noted = from.noted();
        return number < noted.size() ? noted[number]
                                     : from.pickUnused(number - noted.size(), random);
    };
    const ServerRecord *one = pick();
    const ServerRecord *other = pick();
    return other->load(view_.now) < one->load(view_.now) ? other : one;
}

} // namespace limereel::forward
