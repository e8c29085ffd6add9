/** \file
 * Decides which engines of the hall hold which models, and orders engines to load and unload them.
 *
 * One box of the hall does this, the one that rendezvous hashing chooses, while it holds a lease on
 * the platform. Each order carries the lease's fencing token. If the box can't reach the platform,
 * the lease expires and no orders are given: the models stay where they are.
 */
#pragma once

#include "placement/FencedLease.h"
#include "placement/Planner.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>

namespace limereel::services {

/** Plans and orders the placement of models in the hall. */
class PlacementService : public kernel::Service
{
public:
    explicit PlacementService(Context &context);

    std::string_view name() const override { return "placement"; }
    void start() override;
    void stop() override;

    /** Whether this box holds the lease, by its own clock. */
    bool holds() const { return lease_.tokenFor(true, context_.now()).has_value(); }

private:
    boost::asio::awaitable<kernel::Duration> round();
    boost::asio::awaitable<bool> keepLease();
    boost::asio::awaitable<void> orderAll();
    boost::asio::awaitable<void> order(placement::Order order);
    std::vector<placement::EngineView> engines() const;
    std::vector<placement::ModelDemand> demands();
    bool isCandidate() const;

    Context &context_;
    placement::FencedLease lease_;
    std::uint64_t leaseVersion_ = 0; ///< Of the lease's object on the platform.
    placement::Planner planner_;
    std::map<std::string, double> smoothed_; ///< Smoothed number of requests in flight, by model.
    std::unique_ptr<PeriodicTask> loop_;
};

} // namespace limereel::services
