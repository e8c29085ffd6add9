/** \file
 * The caller-facing side of a gateway; a RequestRun serves each request.
 */
#pragma once

#include "gateway/ConnectionPool.h"
#include "gateway/DetourService.h"
#include "gateway/FleetView.h"
#include "gateway/PlaceService.h"
#include "http/Server.h"
#include "services/PeriodicTask.h"

#include <memory>

namespace limereel::gateway {

/** The listener for callers. */
class FrontService : public kernel::Service
{
public:
    FrontService(services::Context &context, FleetView &fleetView, PlaceService &places,
                 DetourService &detours);

    std::string_view name() const override { return "front"; }
    void start() override;
    void stop() override;

    /** From now on each answer closes its connection; requests are still served. */
    void beginLeaving();

    /** Accepts no more connections and closes the idle ones. */
    void drain();

    /** Number of requests being served, those of other boxes included. */
    std::size_t active() const;

private:
    http::ServerLimits limits() const;
    http::Answer refusalOf(http::Refused why);
    void noteRequestBytes();
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);
    boost::asio::awaitable<void> handleDetour(peer::DetourRequest detour, http::Reply &reply);

    services::Context &context_;
    FleetView &fleetView_;
    PlaceService &places_;
    DetourService &detours_;
    ConnectionPool pool_;
    std::uint64_t gaveWay_ = 0; ///< Requests that had given way when that was last logged.
    std::unique_ptr<http::Server> server_;
    std::unique_ptr<services::PeriodicTask> sweep_;
};

} // namespace limereel::gateway
