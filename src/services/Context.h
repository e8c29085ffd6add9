/** \file
 * The state that all services of a box share: the event loop, the settings, the clock, the random
 * number generator, the counters, and the kernel through which a service finds the others.
 */
#pragma once

#include "http/ByteBudget.h"
#include "kernel/BoxSettings.h"
#include "kernel/Clock.h"
#include "kernel/Counters.h"
#include "kernel/Kernel.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace limereel::services {

/** Bytes that a box with \a settings may hold of requests, and again of answers. The rest is for
 * what it knows of its fleet, and for memory that was given back and isn't used again. */
inline std::size_t byteBudget(const kernel::BoxSettings &settings)
{
    constexpr std::size_t BudgetFraction = 6;
    constexpr std::size_t MiB = std::size_t{1024} * 1024;
    return settings.gateway.memoryMb * MiB / BudgetFraction;
}

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
    std::shared_ptr<http::ByteBudget> requestBytes; ///< Of all servers of the box.
    std::shared_ptr<http::ByteBudget> answerBytes;  ///< That backend servers send.

    Context(boost::asio::io_context &loop, kernel::BoxSettings boxSettings)
        : io(loop)
        , settings(std::move(boxSettings))
        , requestBytes(std::make_shared<http::ByteBudget>(byteBudget(settings)))
        , answerBytes(
                  std::make_shared<http::ByteBudget>(byteBudget(settings), http::GivesWay::Largest))
    {
    }
};

} // namespace limereel::services
