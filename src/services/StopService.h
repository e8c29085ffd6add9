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
#include "services/PlannedStop.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace limereel::services {

/** The planned stop. */
class StopService : public PlannedStop
{
public:
    /** \param done called once the stop is complete. */
    StopService(Context &context, std::function<void()> done);

    /** Begins the stop; further calls have no effect. */
    void leave();

private:
    boost::asio::awaitable<void> run();

    Context &context_;
    std::function<void()> done_;
};

} // namespace limereel::services
