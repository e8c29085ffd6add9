/** \file
 * What a box knows of one backend server: how it is listed, what runs there, how it answered.
 *
 * Of ten thousand servers a box uses a few in any second. A record on which nothing stands tells
 * nothing that the list doesn't, so only those that are noted have to be looked at one by one.
 */
#pragma once

#include "forward/Backend.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace limereel::forward {

/** The number of a hall within one box. */
using HallNumber = std::size_t;

/** The record of one server. */
struct ServerRecord
{
    ListedServer server;
    std::uint64_t hash = 0; ///< Of this life of the server.
    kernel::Instant since;  ///< When it was first listed.
    std::uint32_t own = 0;  ///< Requests of this box that run there.
    double others = 0;      ///< Requests of other boxes, as they were told.
    kernel::Instant othersAt;
    std::uint32_t failuresInARow = 0;
    kernel::Instant suspectedUntil;
    kernel::Instant fullUntil;
    kernel::Instant backoffUntil; ///< It wants nothing from this box until then.
    double errors = 0;            ///< Decaying share of failed answers.
    kernel::Instant errorsAt;
    kernel::Instant lastHeard;
    kernel::Instant noResponseAt; ///< When connecting to it last brought nothing back.
    kernel::Instant dueSince;     ///< When the first of the running requests was sent.

    HallNumber hall = 0;   ///< Of its hall.
    std::size_t row = 0;   ///< In the table of its service.
    std::size_t place = 0; ///< Among the servers of its service and hall that take work.
    bool tracked = false;  ///< Something may stand on it; set by ServerIndex::note().

    /** Requests that run or wait there, as far as this box knows. */
    double load(kernel::Instant now) const;

    /** The share of failed answers, old ones faded. */
    double errorShare(kernel::Instant now) const;

    void noteError(kernel::Instant now);
    void noteGoodAnswer(kernel::Instant now);

    bool inBackoff(kernel::Instant now) const { return now < backoffUntil; }

    /** Whether it has at least as many requests as places. */
    bool allSlotsTaken(kernel::Instant now) const
    {
        return load(now) >= std::max<std::uint32_t>(1, server.slots);
    }

    /** Whether connecting to it brought nothing back lately. */
    bool unansweredLately(kernel::Instant now) const;

    /** Whether nothing stands on it any more: it is like one that was never used. */
    bool hasDefaultState(kernel::Instant now) const;
};

} // namespace limereel::forward
