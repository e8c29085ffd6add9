/** \file
 * The planned stop of a box, which lets running requests finish.
 *
 * First the box reports that it isn't ready and that it is leaving: the load balancer stops sending
 * requests, and other boxes take over what this box owned. New connections are still served until
 * the balancer's lag has passed. Then the box accepts no more connections, finishes the running
 * requests, and the process ends. Requests are aborted only if they still run at the stop deadline.
 */
#pragma once

#include "services/Context.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace limereel::services {

/** The planned stop. */
class StopService : public kernel::Service
{
public:
    /** \param done called once the stop is complete. */
    StopService(Context &context, std::function<void()> done);

    std::string_view name() const override { return "stop"; }
    void start() override {}
    void stop() override {}

    /** Begins the stop; further calls have no effect. */
    void leave();
    bool leaving() const { return leaving_; }

private:
    boost::asio::awaitable<void> run();

    Context &context_;
    std::function<void()> done_;
    bool leaving_ = false;
};

} // namespace limereel::services
