/** \file
 * Which engines should hold which models, as orders from what is to what demand asks for.
 *
 * Loading a model takes seconds to minutes and the weight store is rate-limited, so the plan moves
 * as little as it can. A copy is added when a model has fewer than it must, or when its copies have
 * been over the high mark for a while. A copy is taken away only to make room for such a one, where
 * no engine has room, and never the last ready one: weights that nobody needs room for stay where
 * they are.
 */
#pragma once

#include "kernel/decisions/Name.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limereel::placement {

/** One engine as the plan sees it. */
struct EngineView
{
    std::string name;
    bool usable = true;                 ///< Answers and isn't leaving.
    std::size_t modelCapacity = 1;      ///< Models that fit at once.
    std::map<std::string, bool> models; ///< What it holds; true once ready.
    std::uint32_t inFlight = 0;

    auto operator<=>(const EngineView &) const = default;
};

/** One model's demand. */
struct ModelDemand
{
    std::string model;
    double inFlight = 0; ///< Smoothed; running and refused for want of a place.
    std::uint32_t minCopies = 1;
    std::uint32_t slots = 1; ///< Places on one engine.

    auto operator<=>(const ModelDemand &) const = default;
};

/** What an order asks for. */
enum class OrderKind : std::uint8_t { Load, Unload };

/** One order to one engine. */
struct Order
{
    OrderKind kind = OrderKind::Load;
    std::string engine;
    std::string model;

    auto operator<=>(const Order &) const = default;
};

/** Settings of the plan. */
struct PlanPolicy
{
    double highMark = 0.7; ///< Part of a model's places in use above which it wants a copy more.
    double lowMark = 0.3;  ///< Part in use, after taking one away, below which it can spare one.
    kernel::Duration sustained = 20s; ///< How long a wish must last before it is followed.
    std::size_t loadsAtOnce = 2;      ///< Bound by the weight store's rate.
};

/** The plan of one hall. */
class Planner
{
public:
    explicit Planner(PlanPolicy policy)
        : policy_(policy)
    {
    }

    /** The orders to give now. Called again and again; an order not yet carried out isn't doubled.
     */
    std::vector<Order> plan(const std::vector<EngineView> &engines,
                            const std::vector<ModelDemand> &demands, kernel::Instant now);

private:
    bool wantsMore(const ModelDemand &demand, const std::vector<EngineView> &engines,
                   kernel::Instant now);

    PlanPolicy policy_;
    std::map<std::string, kernel::Instant>
            highSince_; ///< By model: since when it is over the high mark.
};

} // namespace limereel::placement
