#include "placement/Planner.h"

#include <algorithm>

namespace limereel::placement {

using kernel::Instant;

namespace {

using Engines = std::vector<EngineView>;

struct Copies
{
    std::size_t ready = 0;
    std::size_t loading = 0;

    std::size_t all() const { return ready + loading; }
};

Copies copiesOf(const Engines &engines, const std::string &model)
{
    Copies copies;
    for (const EngineView &engine : engines) {
        const auto held = engine.models.find(model);
        if (!engine.usable || held == engine.models.end()) {
            continue;
        }
        ++(held->second ? copies.ready : copies.loading);
    }
    return copies;
}

std::size_t loadsInProgress(const Engines &engines)
{
    std::size_t count = 0;
    for (const EngineView &engine : engines) {
        count += static_cast<std::size_t>(std::ranges::count(
                engine.models, false, [](const auto &held) { return held.second; }));
    }
    return count;
}

// Of the engines with free capacity, the one that holds the fewest models and then has the least
// load. Ties are broken by rendezvous hashing, so that a repeated plan chooses the same engine.
EngineView *findEngineFor(Engines &engines, const std::string &model)
{
    EngineView *best = nullptr;
    const auto rank = [&model](const EngineView &engine) {
        return std::tuple(engine.models.size(), engine.inFlight,
                          kernel::hashOf(engine.name + "/" + model));
    };
    for (EngineView &engine : engines) {
        const bool fits = engine.usable && engine.models.size() < engine.modelCapacity
                          && !engine.models.contains(model);
        if (fits && (best == nullptr || rank(engine) < rank(*best))) {
            best = &engine;
        }
    }
    return best;
}

double utilisation(const ModelDemand &demand, std::size_t copies)
{
    return copies == 0 ? 1 : demand.inFlight / (static_cast<double>(copies) * demand.slots);
}

bool canSpare(const ModelDemand &demand, const Engines &engines, const PlanPolicy &policy)
{
    const Copies copies = copiesOf(engines, demand.model);
    const bool more = copies.ready >= 2 && copies.ready > demand.minCopies;
    return more && utilisation(demand, copies.ready - 1) < policy.lowMark;
}

/** A ready copy that can be unloaded. */
struct Victim
{
    EngineView *engine = nullptr;
    std::string model;
};

// Of all copies that can be spared, the one whose engine has the fewest requests in flight.
Victim findVictim(Engines &engines, const std::vector<ModelDemand> &demands,
                  const PlanPolicy &policy, const std::string &wanted)
{
    Victim best;
    for (const ModelDemand &demand : demands) {
        if (demand.model == wanted || !canSpare(demand, engines, policy)) {
            continue;
        }
        for (EngineView &engine : engines) {
            const auto held = engine.models.find(demand.model);
            const bool ready = engine.usable && held != engine.models.end() && held->second;
            const bool fits = !engine.models.contains(wanted);
            if (ready && fits
                && (best.engine == nullptr || engine.inFlight < best.engine->inFlight)) {
                best = {&engine, demand.model};
            }
        }
    }
    return best;
}

} // namespace

std::vector<Order> Planner::plan(const Engines &observed, const std::vector<ModelDemand> &demands,
                                 Instant now)
{
    Engines engines = observed;
    std::vector<Order> orders;
    std::size_t loads = loadsInProgress(engines);
    for (const ModelDemand &demand : demands) {
        if (!wantsMore(demand, engines, now) || loads >= policy_.loadsAtOnce) {
            continue;
        }
        if (EngineView *const engine = findEngineFor(engines, demand.model); engine != nullptr) {
            engine->models[demand.model] = false;
            orders.push_back({OrderKind::Load, engine->name, demand.model});
            highSince_.erase(demand.model);
            ++loads;
            continue;
        }
        // Unloading a copy frees the capacity that the next plan uses.
        const Victim victim = findVictim(engines, demands, policy_, demand.model);
        if (victim.engine != nullptr) {
            victim.engine->models.erase(victim.model);
            orders.push_back({OrderKind::Unload, victim.engine->name, victim.model});
            ++loads;
        }
    }
    return orders;
}

bool Planner::wantsMore(const ModelDemand &demand, const Engines &engines, Instant now)
{
    const std::size_t copies = copiesOf(engines, demand.model).all();
    if (copies < demand.minCopies) {
        return true;
    }
    if (utilisation(demand, copies) <= policy_.highMark) {
        highSince_.erase(demand.model);
        return false;
    }
    const Instant since = highSince_.try_emplace(demand.model, now).first->second;
    return now - since >= policy_.sustained;
}

} // namespace limereel::placement
