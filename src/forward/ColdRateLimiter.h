/** \file
 * How many requests a second a cold backend server is sent, by all boxes together.
 *
 * The bound is a sum over boxes that can't be counted at one place: the owner of a server grants
 * most of it by its own clock, and boxes may see two owners for a while, or none.
 *
 * - One that has owned the server for some seconds by its own view is most likely the only one and
 *   grants \c ColdRatePolicy::settledPart of the bound.
 * - Any other grants so little that what it may grant twice, after a restart or beside another
 *   owner, fits beside it; in the first window in which it is asked, half of that.
 * - What is left is for boxes that have no owner's word.
 * - A box that sees few others may be cut off from them: it grants by the part of the greatest
 *   fleet that it saw lately.
 *
 * Below one request in a window the grant is by chance, drawn from the server, the box and the
 * window, so that the boxes of a fleet don't all use their first one in the same second.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace limereel::forward {

/** The bound of the whole fleet on one cold server, and how it is shared out. */
struct ColdRatePolicy
{
    double excess = 0; ///< Multiple of what the server bears; 0 with no slack: just that.
    double slack = 0;  ///< Requests a second beyond it.

    /** Longer than the second that is bounded by as much as requests may bunch on their way: a box
     * with an eighth of a core is held up for 0.2 to 0.3 s now and then. */
    kernel::Duration window = 1250ms;

    double settledPart = 0.5;    ///< Of the bound, for an owner of some seconds.
    double ownerPart = 0.25;     ///< Of the bound, for any other owner.
    double firstPart = 0.5;      ///< Of that, in the first window in which it is asked.
    double ownerlessPart = 0.05; ///< Of the bound, for all boxes without an owner's word together.
};

/** One request that is to go to a cold server. */
struct ColdSend
{
    std::uint64_t server = 0;
    double perSecond = 0;  ///< What the server bears.
    std::uint64_t box = 0; ///< Who grants.
};

/** The part of the fleet that a box sees. */
struct FleetPart
{
    std::size_t seen = 1;     ///< Boxes, itself included.
    std::size_t greatest = 1; ///< Lately.
    bool settled = false;     ///< By its view it has owned the server for some seconds.
};

/** The ledger of one box. Pure: time is handed in. */
class ColdRateLimiter
{
public:
    explicit ColdRateLimiter(ColdRatePolicy policy = {})
        : policy_(policy)
    {
    }

    /** Replaces the bound. */
    void setBound(double excess, double slack);

    /** Counts and grants a request as the server's owner; false if it has had its share. */
    bool grant(const ColdSend &ask, const FleetPart &fleet, kernel::Instant now);

    /** The same for the box's own request, without an owner's word. */
    bool grantWithoutOwner(const ColdSend &ask, const FleetPart &fleet, kernel::Instant now);

    /** Drops what doesn't count any more. */
    void expire(kernel::Instant now);

    /** Requests a second that all boxes together may send. */
    double bound(double perSecond) const;

private:
    /** What was granted for one server. */
    struct Grants
    {
        kernel::Instant asked;              ///< Last.
        kernel::Instant since;              ///< From when on it was asked without a long pause.
        std::deque<kernel::Instant> within; ///< The window.
    };

    Grants &grantsOf(std::uint64_t server, kernel::Instant now);
    bool take(const ColdSend &ask, double rate, kernel::Instant now);

    ColdRatePolicy policy_;
    std::unordered_map<std::uint64_t, Grants> grants_; ///< By server.
};

} // namespace limereel::forward
