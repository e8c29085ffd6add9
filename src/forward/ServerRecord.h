/** \file
 * What a box knows of one backend server: its listing, its load and its recent answers.
 *
 * Of ten thousand servers, a box uses a few in any second. The record of an unused server holds
 * nothing beyond the listing, so a choice only visits tracked records.
 */
#pragma once

#include "forward/AnswerPace.h"
#include "forward/Backend.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace limereel::forward {

/** Index of a hall, local to one box. */
using HallNumber = std::size_t;

/** The record of one server. */
struct ServerRecord
{
    ListedServer server;
    std::uint64_t hash = 0; ///< Identifies the incarnation.
    kernel::Instant since;  ///< When it was first listed.
    std::uint32_t own = 0;  ///< Requests of this box that run there.
    double others = 0;      ///< Requests of other boxes, as last reported.
    kernel::Instant othersAt;
    std::uint32_t failuresInARow = 0;
    kernel::Instant suspectedUntil;
    kernel::Instant fullUntil;
    kernel::Instant backoffUntil; ///< End of the backoff that it asked this box for.
    double errors = 0;            ///< Share of failed answers, which decays over time.
    kernel::Instant errorsAt;
    AnswerPace pace; ///< Of its answers, if paces are compared.
    kernel::Instant lastHeard;
    kernel::Instant noResponseAt; ///< When a connection attempt last got no response.
    kernel::Instant dueSince;     ///< When the first of the running requests was sent.

    HallNumber hall = 0; ///< Index of its hall.
    std::size_t row = 0; ///< Row in the table of its service.
    /** Position among the servers of its service and hall that accept new requests. */
    std::size_t place = 0;
    /** Whether it may hold more than the listing; set by ServerIndex::track(). */
    bool tracked = false;

    /** Requests that run or wait there, as far as this box knows. */
    double load(kernel::Instant now) const;

    /** The share of failed answers, decayed up to \a now. */
    double errorShare(kernel::Instant now) const;

    void noteError(kernel::Instant now);
    void noteGoodAnswer(kernel::Instant now);

    bool inBackoff(kernel::Instant now) const { return now < backoffUntil; }

    /** Whether it has at least as many requests as slots. */
    bool allSlotsTaken(kernel::Instant now) const
    {
        return load(now) >= std::max<std::uint32_t>(1, server.slots);
    }

    /** Whether a connection attempt got no response recently. */
    bool unansweredLately(kernel::Instant now) const;

    /** Whether the record holds nothing beyond the listing, as for a server that was never used. */
    bool hasDefaultState(kernel::Instant now) const;
};

} // namespace limereel::forward
