/** \file
 * Small services of a gateway: readiness for the balancer, metrics, and the planned stop.
 */
#pragma once

#include "gateway/FrontService.h"
#include "services/PlannedStop.h"

#include <functional>
#include <memory>

namespace limereel::gateway {

/** Serves the readiness check for the balancer, the metrics and the status. */
class ReadyService : public kernel::Service
{
public:
    ReadyService(services::Context &context, FleetView &fleetView)
        : context_(context)
        , fleetView_(fleetView)
    {
    }

    std::string_view name() const override { return "ready"; }
    void start() override;
    void stop() override;

    /** Reports the box as not ready from now on. */
    void beginLeaving() { leaving_ = true; }

private:
    std::unique_ptr<http::Server> serve(const kernel::Endpoint &where);
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);
    http::Answer lift(const http::Request &request);
    bool liftPart(const std::string &id);

    services::Context &context_;
    FleetView &fleetView_;
    bool leaving_ = false;
    std::vector<std::unique_ptr<http::Server>> servers_;
};

/** The planned stop: reports not ready at once, closes connections between requests, and lets
 * running requests finish. */
class GatewayStop : public services::PlannedStop
{
public:
    GatewayStop(services::Context &context, std::function<void()> done)
        : context_(context)
        , done_(std::move(done))
    {
    }

    /** Begins the stop; a second call changes nothing. */
    void begin();

private:
    boost::asio::awaitable<void> run();

    services::Context &context_;
    std::function<void()> done_;
};

} // namespace limereel::gateway
