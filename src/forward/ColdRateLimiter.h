/** \file
 * Limits how many requests a second all boxes together send to a cold backend server.
 *
 * No single place can count the requests of all boxes. The owner of a server grants most of the
 * limit by its own clock, but boxes may see two owners for a while, or none.
 *
 * - An owner that has owned the server for some seconds, as far as it knows, is most likely the
 *   only one and grants \c ColdRatePolicy::settledPart of the limit.
 * - Any other owner grants so little that the limit also holds if that amount is granted twice,
 *   after a restart or beside another owner. In the first window in which it is asked, it grants
 *   half of that.
 * - The remainder is for boxes that get no answer from an owner.
 * - A box that sees few other boxes may be cut off from them: it scales what it grants by the share
 *   of boxes that it sees, relative to the largest fleet that it saw recently.
 *
 * If the grant is below one request in a window, it is given at random, by a hash of the server,
 * the box and the window, so that the boxes of a fleet don't all send their first request in the
 * same second.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace limereel::forward {

/** The fleet's limit on the request rate to one cold server, and how it is divided. */
struct ColdRatePolicy
{
    double excess = 0; ///< Multiple of what the server can take; 0 with no slack: exactly that.
    double slack = 0;  ///< Requests a second added to it.

    /** Longer than the second for which the limit holds, by as much as requests may bunch on their
     * way: a box with an eighth of a core is delayed by 0.2 to 0.3 s now and then. */
    kernel::Duration window = 1250ms;

    double settledPart = 0.5; ///< Part of the limit for an owner of some seconds.
    double ownerPart = 0.25;  ///< Part of the limit for any other owner.
    double firstPart = 0.5;   ///< Part of ownerPart in the first window in which it is asked.
    /** Part of the limit for all boxes together that get no answer from an owner. */
    double ownerlessPart = 0.05;
};

/** A request to be sent to a cold server. */
struct ColdSend
{
    std::uint64_t server = 0;
    double perSecond = 0;  ///< Requests a second that the server can take.
    std::uint64_t box = 0; ///< The box that grants.
};

/** The part of the fleet that a box sees. */
struct FleetPart
{
    std::size_t seen = 1;     ///< Boxes that it sees, itself included.
    std::size_t greatest = 1; ///< Largest fleet that it saw recently.
    bool settled = false; ///< Whether it has owned the server for some seconds, as far as it knows.
};

/** The grants of one box. Deterministic: callers pass in the current time. */
class ColdRateLimiter
{
public:
    explicit ColdRateLimiter(ColdRatePolicy policy = {})
        : policy_(policy)
    {
    }

    /** Replaces the limit. */
    void setBound(double excess, double slack);

    /** Grants and counts a request as the server's owner. \return false if this box's part of the
     * limit is used up. */
    bool grant(const ColdSend &ask, const FleetPart &fleet, kernel::Instant now);

    /** Grants and counts a request of this box itself, without an owner's answer. */
    bool grantWithoutOwner(const ColdSend &ask, const FleetPart &fleet, kernel::Instant now);

    /** Drops servers for which nothing was asked within the last window. */
    void expire(kernel::Instant now);

    /** Requests a second that all boxes together may send. */
    double bound(double perSecond) const;

private:
    /** The grants for one server. */
    struct Grants
    {
        kernel::Instant lastAsked;  ///< Last request for a grant.
        kernel::Instant askedSince; ///< Start of the last uninterrupted series of such requests.
        std::deque<kernel::Instant> recent; ///< Times of the grants in the current window.
    };

    Grants &grantsOf(std::uint64_t server, kernel::Instant now);
    bool tryGrant(const ColdSend &ask, double rate, kernel::Instant now);

    ColdRatePolicy policy_;
    std::unordered_map<std::uint64_t, Grants> grants_; ///< By server.
};

} // namespace limereel::forward
