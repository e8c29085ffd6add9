/** \file
 * The side of a gateway towards callers: each request gets a RequestRun.
 */
#pragma once

#include "gateway/ConnectionPool.h"
#include "gateway/PlaceService.h"
#include "gateway/World.h"
#include "http/Server.h"
#include "services/PeriodicTask.h"

#include <memory>

namespace limereel::gateway {

/** The listener for callers. */
class FrontService : public kernel::Service
{
public:
    FrontService(services::Context &context, World &world, PlaceService &places);

    std::string_view name() const override { return "front"; }
    void start() override;
    void stop() override;

    /** Each answer closes its connection from now on; requests are still served. */
    void beginLeaving();

    /** Takes no more connections and closes the idle ones. */
    void drain();

    /** Requests that are being served. */
    std::size_t active() const;

private:
    http::ServerLimits limits() const;
    http::Answer refusalOf(http::Refused why);
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);

    services::Context &context_;
    World &world_;
    PlaceService &places_;
    ConnectionPool pool_;
    std::unique_ptr<http::Server> server_;
    std::unique_ptr<services::PeriodicTask> sweep_;
};

} // namespace limereel::gateway
