/** \file
 * Decides whether this box may send orders to engines: only the holder of a lease on the platform
 * may, and only until the lease has expired by the holder's own clock.
 *
 * The holder counts its lease from the moment before it sent its write, on its own monotonic clock,
 * and checks the expiry immediately before each order, so a box that was paused finds its lease
 * expired. Each order carries the lease's token, which grows with each new holder; servers that
 * check tokens refuse an order with an older one. For servers that don't check tokens a new holder
 * waits: it can take the lease only after the previous one has expired, and then sends no orders
 * for the guard time. This must exceed the longest time that an order takes from the check to the
 * server (see docs/interfaces/engine.md).
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limereel::placement {

/** The lease as stored on the platform. */
struct LeaseRecord
{
    std::string holder;        ///< Name and incarnation of the box.
    std::uint64_t token = 0;   ///< Increased by one with each new holder.
    std::uint64_t renewal = 0; ///< Grows with each renewal, so a change shows a live holder.

    auto operator<=>(const LeaseRecord &) const = default;
};

/** Durations of a lease. */
struct LeasePolicy
{
    kernel::Duration length = 15s;
    kernel::Duration renewEvery = 5s;
    kernel::Duration guard = 10s; ///< Wait before orders to servers that don't check tokens.
};

/**
 * One box's view of the lease. Does no I/O: what was read from the platform is passed in, what is
 * to be written is returned.
 */
class FencedLease
{
public:
    FencedLease(LeasePolicy policy, std::string self)
        : policy_(policy)
        , self_(std::move(self))
    {
    }

    /**
     * Takes the record that a call read (nothing: none exists), whose answer arrived at \a
     * answered. A write by another holder took effect before then, so that holder's lease has
     * expired once a full lease length has passed since.
     */
    void onRead(const std::optional<LeaseRecord> &record, kernel::Instant answered);

    /**
     * The record to write now, on condition that the stored record is still the one last read: a
     * renewal, or a takeover once the record has not changed for a full lease length. Nothing if
     * this box has nothing to write.
     */
    std::optional<LeaseRecord> toWrite(kernel::Instant now) const;

    /**
     * Notes that \a record is sent at \a now. If the answer is lost, the next read shows whether
     * the write took effect.
     */
    void onSend(const LeaseRecord &record, kernel::Instant now);

    /** Notes that the write sent last has taken effect. */
    void onWritten();

    /** Drops a held lease, so that a successor needn't wait for this box to try again. */
    void giveUp() { heldUntil_.reset(); }

    /** The token for an order at \a now; nothing if this box may not send one. */
    std::optional<std::uint64_t> tokenFor(bool serverChecksToken, kernel::Instant now) const;

    const std::optional<LeaseRecord> &lastRead() const { return lastRead_; }

private:
    bool isOurs() const { return lastRead_ && lastRead_->holder == self_; }

    LeasePolicy policy_;
    std::string self_;
    std::optional<LeaseRecord> lastRead_;
    std::optional<kernel::Instant>
            unchangedSince_; ///< When the current record was first read, or sent by this box.
    std::optional<LeaseRecord> sent_;
    kernel::Instant sentAt_;
    std::optional<kernel::Instant> heldUntil_;
    std::optional<kernel::Instant> heldSince_;
    std::optional<std::uint64_t> heldToken_;
};

} // namespace limereel::placement
