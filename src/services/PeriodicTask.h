/** \file
 * Runs something again and again on a service's event loop until the service stops.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace limereel::services {

/** A loop with a pause between two rounds. Stops when destroyed; a round that runs is finished
 * first. */
class PeriodicTask
{
public:
    using Round = std::function<boost::asio::awaitable<kernel::Duration>()>;

    /** \param round one round; it gives the pause before the next one. */
    PeriodicTask(boost::asio::io_context &io, Round round);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    /** Cuts the running pause short. */
    void hurry();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace limereel::services
