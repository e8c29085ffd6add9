/** \file
 * Makes an event loop stand still, as on a slow box or while something long is read, and lets
 * something happen in the pass in which the timers that ran out meanwhile are handled.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace limereel::support {

/** What happens around a standstill; each may be empty. */
struct Standstill
{
    std::chrono::steady_clock::time_point until;

    /** While the loop stands still: what arrives is seen in the next pass, beside the timers that
     * ran out. */
    std::function<void()> during;

    /** Handled first in that pass: what arrives is seen only after these timers were handled. */
    std::function<void()> ahead;
};

/** Makes the loop of \a io stand still when it is run next. */
void standStill(boost::asio::io_context &io, Standstill standstill);

} // namespace limereel::support
