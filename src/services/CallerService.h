/** \file
 * The HTTP/1.1 interface for callers: identifies the organisation by its API key and dispatches
 * chat requests and calls to plain services.
 */
#pragma once

#include "http/Server.h"
#include "outcome/RetryBudget.h"
#include "services/ChatHandler.h"
#include "services/Context.h"
#include "services/ServiceHandler.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace limereel::services {

/** The listener for callers. */
class CallerService : public kernel::Service
{
public:
    explicit CallerService(Context &context);

    std::string_view name() const override { return "caller"; }
    void start() override;
    void stop() override;

    /** Whether the load balancer may send requests to this box. */
    bool ready() const;

    /** Reports the box as not ready. Requests are still served; each connection is closed after its
     * next answer. */
    void beginLeaving();

    /** Stops accepting connections, and closes each open one after its current request. */
    void drain();

    /** Number of requests that are being served. */
    std::size_t active() const;

private:
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply);
    boost::asio::awaitable<void> handleKeyed(http::Request request, http::Reply &reply,
                                             std::string requestId);
    bool stopsTooSoon() const;
    std::string newRequestId();

    Context &context_;
    outcome::RetryBudget budget_;
    ChatHandler chats_;
    ServiceHandler services_;
    bool leaving_ = false;
    std::unique_ptr<http::Server> server_;
};

} // namespace limereel::services
