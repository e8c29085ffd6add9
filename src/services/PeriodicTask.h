/** \file
 * Runs a coroutine repeatedly on a service's event loop until the service stops.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace limereel::services {

/** A loop with a pause between two rounds. It stops when destroyed; a round that is running then
 * still finishes. An exception of a round is logged, and the next round follows after 1 s. */
class PeriodicTask
{
public:
    using Round = std::function<boost::asio::awaitable<kernel::Duration>()>;

    /** \param round runs one round and returns the pause before the next one. */
    PeriodicTask(boost::asio::io_context &io, Round round);
    ~PeriodicTask();
    PeriodicTask(const PeriodicTask &) = delete;
    PeriodicTask &operator=(const PeriodicTask &) = delete;

    /** Ends the current pause at once; if a round is running, the pause after it is skipped. */
    void hurry();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace limereel::services
