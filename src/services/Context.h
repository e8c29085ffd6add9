/** \file
 * What every service of a box is given: the event loop, the settings, the clock, chance, the
 * counters, and the kernel in which it finds the others.
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

/** Shared by the services of one process; outlives them all. Used from the loop's one thread. */
struct Context
{
    boost::asio::io_context &io;
    kernel::BoxSettings settings;
    std::uint64_t incarnation =
            0; ///< Of this process; greater than that of any before it on the box.
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
