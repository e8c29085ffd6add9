/** \file
 * Plans which engines hold which models: computes the orders that bring the engines closer to what
 * demand requires.
 *
 * Loading a model takes seconds to minutes and the weight store is rate-limited, so the plan
 * changes as little as it can. It adds a copy when a model has fewer than its minimum, or when the
 * utilisation of its copies has been above the high mark for a while. It unloads a copy only to
 * free capacity for such a load when no engine has any left, and never the last ready copy. Weights
 * whose capacity is not needed stay loaded.
 */
#pragma once

#include "kernel/decisions/Name.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limereel::placement {

/** One engine as the planner sees it. */
struct EngineView
{
    std::string name;
    bool usable = true;                 ///< It answers and isn't leaving.
    std::size_t modelCapacity = 1;      ///< Number of models that fit at once.
    std::map<std::string, bool> models; ///< Models it holds; true once ready.
    std::uint32_t inFlight = 0;

    auto operator<=>(const EngineView &) const = default;
};

/** One model's demand. */
struct ModelDemand
{
    std::string model;
    double inFlight = 0; ///< Smoothed; requests running, or refused for lack of capacity.
    std::uint32_t minCopies = 1;
    std::uint32_t slots = 1; ///< Requests that one engine runs at once.

    auto operator<=>(const ModelDemand &) const = default;
};

/** What an order tells the engine to do. */
enum class OrderKind : std::uint8_t { Load, Unload };

/** One order to one engine. */
struct Order
{
    OrderKind kind = OrderKind::Load;
    std::string engine;
    std::string model;

    auto operator<=>(const Order &) const = default;
};

/** Settings of the planner. */
struct PlanPolicy
{
    double highMark = 0.7; ///< Part of a model's slots in use above which another copy is wanted.
    double lowMark = 0.3;  ///< Part of the slots in use, after removing a copy, below which a copy
                           ///< can be spared.
    kernel::Duration sustained = 20s; ///< Time above the high mark before a copy is added.
    std::size_t loadsAtOnce = 2;      ///< Most loads at once; limited by the weight store's rate.
};

/** The planner of one hall. */
class Planner
{
public:
    explicit Planner(PlanPolicy policy)
        : policy_(policy)
    {
    }

    /**
     * The orders to send now. Meant to be called periodically; an order that an engine is still
     * carrying out isn't repeated.
     */
    std::vector<Order> plan(const std::vector<EngineView> &engines,
                            const std::vector<ModelDemand> &demands, kernel::Instant now);

private:
    bool wantsMore(const ModelDemand &demand, const std::vector<EngineView> &engines,
                   kernel::Instant now);

    PlanPolicy policy_;
    std::map<std::string, kernel::Instant>
            highSince_; ///< By model: since when its utilisation has been above the high mark.
};

} // namespace limereel::placement
