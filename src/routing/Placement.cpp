#include "routing/Placement.h"

#include "membership/Rendezvous.h"

#include <algorithm>

namespace limereel::routing {

namespace {

constexpr std::size_t SpillChoices = 2;

const Candidate *findHolder(const std::optional<Holder> &holder, std::span<const Candidate> pool)
{
    if (!holder) {
        return nullptr;
    }
    const auto found = std::ranges::find(pool, holder->engine, &Candidate::engine);
    const bool same = found != pool.end() && found->incarnation == holder->incarnation;
    return same ? &*found : nullptr;
}

// In integer arithmetic: load <= inFlight / engines.
bool atMostMean(const Candidate &candidate, const PoolView &view)
{
    return candidate.inFlight * view.engines <= view.inFlight;
}

std::vector<Candidate> leastLoaded(std::span<const Candidate> pool, std::size_t count)
{
    std::vector<Candidate> least(pool.begin(), pool.end());
    const std::size_t kept = std::min(count, least.size());
    std::ranges::partial_sort(least, least.begin() + static_cast<std::ptrdiff_t>(kept), {},
                              &Candidate::inFlight);
    least.resize(kept);
    return least;
}

} // namespace

const char *text(Reason reason)
{
    switch (reason) {
    case Reason::Holder:
        return "holder";
    case Reason::First:
        return "first";
    case Reason::LeastLoaded:
        return "least-loaded";
    case Reason::Spilled:
        break;
    }
    return "spilled";
}

std::vector<Candidate> candidatesFor(kernel::ChatKey chat, std::span<const Candidate> pool,
                                     std::size_t count)
{
    std::vector<std::uint64_t> engines;
    engines.reserve(pool.size());
    for (const Candidate &candidate : pool) {
        engines.push_back(candidate.engine);
    }
    std::vector<Candidate> chosen;
    for (const std::size_t position : membership::rendezvousOrder(chat, engines, count)) {
        chosen.push_back(pool[position]);
    }
    return chosen;
}

std::vector<Choice> placeChat(std::span<const Candidate> candidates,
                              const std::optional<Holder> &holder, std::span<const Candidate> pool,
                              const PoolView &view)
{
    std::vector<Choice> order;
    const auto add = [&order](std::uint64_t engine, Reason reason) {
        if (std::ranges::find(order, engine, &Choice::engine) == order.end()) {
            order.push_back({engine, reason});
        }
    };
    const Candidate *const warm = findHolder(holder, pool);
    if (warm != nullptr && warm->inFlight < view.bound) {
        add(warm->engine, Reason::Holder);
    }
    if (warm == nullptr && !candidates.empty() && atMostMean(candidates.front(), view)) {
        add(candidates.front().engine, Reason::First);
    }
    std::vector<Candidate> byLoad(candidates.begin(), candidates.end());
    std::ranges::stable_sort(byLoad, {}, &Candidate::inFlight);
    for (const Candidate &candidate : byLoad) {
        add(candidate.engine, Reason::LeastLoaded);
    }
    for (const Candidate &candidate : leastLoaded(pool, SpillChoices)) {
        add(candidate.engine, Reason::Spilled);
    }
    return order;
}

std::vector<Choice> shortlist(std::vector<Choice> order, std::size_t most)
{
    if (order.size() <= most) {
        return order;
    }
    const auto ofPool = std::ranges::find(order, Reason::Spilled, &Choice::reason);
    const auto candidates = static_cast<std::size_t>(ofPool - order.begin());
    const std::size_t dropped = std::min(order.size() - most, candidates);
    order.erase(ofPool - static_cast<std::ptrdiff_t>(dropped), ofPool);
    order.resize(std::min(order.size(), most));
    return order;
}

} // namespace limereel::routing
