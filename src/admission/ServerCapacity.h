/** \file
 * How many requests one backend server may hold at once, and how long a request waits for a place
 * there. Answers a load beyond what the server can run: requests that a server rejects for lack of
 * room have cost a message and time, and requests that pile up in its own queue are served in its
 * order and not by priority.
 *
 * The limit starts at the server's slots and a few more. It follows rejections by additive increase
 * and multiplicative decrease (Chiu and Jain, 1989), because a server may be shared with senders
 * that this box doesn't know of: boxes that don't ask, or a second owner while the fleet disagrees
 * on its members.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace limereel::admission {

/** The settings of a limit. */
struct CapacityPolicy
{
    /** Part of the slots that is granted beyond them, at least one request: otherwise a slot stays
     * empty while the end of one request and the grant of the next are on their way. */
    double ahead = 0.25;
    double decrease = 0.85;           ///< Factor applied to the limit after a rejection.
    double holdWeight = 0.1;          ///< Weight of the latest request in the mean time of a place.
    kernel::Duration minRound = 50ms; ///< Shortest time between two decreases.
};

/** The limit of one server. Deterministic: callers pass in the current time. */
class ServerCapacity
{
public:
    explicit ServerCapacity(CapacityPolicy policy = {})
        : policy_(policy)
    {
    }

    /** Sets the slots that the server has; 0: not known, nothing changes. The limit is raised or
     * lowered in proportion. */
    void setSlots(std::uint32_t slots);

    /** Requests that it may hold; at least 1. */
    std::uint32_t limit() const;

    /** Records that a request has ended that held a place for \a held and ran. */
    void noteServed(kernel::Duration held);

    /** Records that the server rejected a request for lack of room. Rejections within one round,
     * which is the mean time of a place, have one cause and lower the limit once. */
    void noteRejected(kernel::Instant now);

    /** Mean time for which a place is held; zero while none has ended. */
    kernel::Duration meanHold() const { return meanHold_; }

    /** Places that come free a second while all are taken; 0 while no place has ended. */
    double freedPerSecond() const;

    /** Expected wait of a request behind \a ahead others; zero while no place has ended. */
    kernel::Duration expectedWait(std::size_t ahead) const;

private:
    double most() const;

    CapacityPolicy policy_;
    double slots_ = 1;
    double limit_ = 2;
    kernel::Duration meanHold_{};
    std::optional<kernel::Instant> decreasedAt_;
};

} // namespace limereel::admission
