/** \file
 * Who may give orders: the holder of a lease on the platform, as long as its own clock allows.
 *
 * The holder counts its lease from the moment before it asked, on its own monotonic clock, and
 * checks the deadline immediately before each order: one that was paused finds its lease lapsed,
 * whatever it remembers. Each order carries the lease's token, which grows with each new holder,
 * and servers that check it refuse an older one. For servers that don't check, a new holder waits:
 * a successor can only take the lease after it ended, and then holds back for the guard, which must
 * exceed the longest time an order spends between the check and the server (see
 * docs/interfaces/engine.md).
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limereel::placement {

/** The lease as it lies on the platform. */
struct LeaseRecord
{
    std::string holder;        ///< Name and incarnation of the box.
    std::uint64_t token = 0;   ///< One more with each new holder.
    std::uint64_t renewal = 0; ///< Grows with each renewal; a change shows that the holder lives.

    auto operator<=>(const LeaseRecord &) const = default;
};

/** Durations of a lease. */
struct LeasePolicy
{
    kernel::Duration length = 15s;
    kernel::Duration renewEvery = 5s;
    kernel::Duration guard = 10s; ///< Before orders to servers that don't check tokens.
};

/** One box's view of the lease. Pure: what it reads and writes on the platform is handed in and
 * out. */
class FencedLease
{
public:
    FencedLease(LeasePolicy policy, std::string self)
        : policy_(policy)
        , self_(std::move(self))
    {
    }

    /**
     * Takes the record as read (nothing: there is none) by a call that was answered at \a answered.
     * What another holder wrote took effect before then, so its lease has ended once a whole length
     * has passed since.
     */
    void onRead(const std::optional<LeaseRecord> &record, kernel::Instant answered);

    /**
     * The record to write now, under the condition that the one last read still stands: a
     * renewal, or a takeover once the record has not changed for a whole lease. Nothing if it isn't
     * this box's turn.
     */
    std::optional<LeaseRecord> toWrite(kernel::Instant now) const;

    /** Notes that \a record is sent at \a now. If the answer is lost, the next read shows whether
     * it took effect. */
    void onSend(const LeaseRecord &record, kernel::Instant now);

    /** Takes the answer that what was sent last has taken effect. */
    void onWritten();

    /** Forgets a held lease, so that a successor needn't wait for this box to try again. */
    void giveUp() { heldUntil_.reset(); }

    /** The token to put on an order at \a now; nothing if this box may give none. */
    std::optional<std::uint64_t> tokenFor(bool serverChecksToken, kernel::Instant now) const;

    const std::optional<LeaseRecord> &lastRead() const { return seen_; }

private:
    bool isOurs() const { return seen_ && seen_->holder == self_; }

    LeasePolicy policy_;
    std::string self_;
    std::optional<LeaseRecord> seen_;
    std::optional<kernel::Instant> seenSince_; ///< When the record was first seen as it is.
    std::optional<LeaseRecord> sent_;
    kernel::Instant sentAt_;
    std::optional<kernel::Instant> heldUntil_;
    std::optional<kernel::Instant> heldSince_;
    std::optional<std::uint64_t> heldToken_;
};

} // namespace limereel::placement
