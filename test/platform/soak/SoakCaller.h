/** \file
 * The callers of a soak: each sends one request after the other to any box, often on a connection
 * that it keeps, sometimes leaving early, and tells the judge what it got.
 */
#pragma once

#include "http/KeptConnection.h"
#include "platform/soak/SoakWorld.h"

#include <boost/asio/awaitable.hpp>
#include <random>

namespace limereel::soak {

/** What all callers share. */
struct CallerWorld
{
    boost::asio::io_context &io;
    SoakFleet &fleet;
    SoakWorld &world;
    SoakJudge &judge;
    std::mt19937_64 random;
    bool over = false;
    int running = 0; ///< Callers that haven't ended.
    std::uint64_t nextId = 0;
    std::size_t takeUps = 0; ///< Streams that were asked to go on,
    std::size_t takenUp = 0; ///< and that did.
};

/** Calls until it is over. */
boost::asio::awaitable<void> callOnAndOn(CallerWorld &shared);

/** Calls while there is a rush, as the first organisation; until it is over. */
boost::asio::awaitable<void> callInRushes(CallerWorld &shared);

/** One request of \a kind to \a box on a connection of its own. \return its status; 0: none. */
boost::asio::awaitable<int> callOnce(CallerWorld &shared, std::size_t box, Kind kind);

/** Whether \a box says that it is ready. */
boost::asio::awaitable<bool> askReady(CallerWorld &shared, std::size_t box);

} // namespace limereel::soak
