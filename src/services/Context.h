/** \file
 * The state that all services of a box share: the event loop, the settings, the clock, the random
 * number generator, the counters, and the kernel through which a service finds the others.
 */
#pragma once

#include "kernel/BoxSettings.h"
#include "kernel/Clock.h"
#include "kernel/Counters.h"
#include "kernel/Kernel.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <random>
#include <string>

namespace limereel::services {

/** Shared by the services of one process and outlives them. Used only from the thread of the event
 * loop. */
struct Context
{
    boost::asio::io_context &io;
    kernel::BoxSettings settings;
    std::uint64_t incarnation =
            0; ///< Of this process; greater than that of any earlier process on the box.
    kernel::Counters counters;
    kernel::Kernel kernel;
    std::mt19937_64 random;
    std::function<kernel::Instant()> now = kernel::now;

    Context(boost::asio::io_context &loop, kernel::BoxSettings boxSettings)
        : io(loop)
        , settings(std::move(boxSettings))
    {
    }
};

} // namespace limereel::services
