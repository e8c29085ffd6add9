#include "placement/FencedLease.h"

namespace limereel::placement {

using kernel::Instant;

void FencedLease::onRead(const std::optional<LeaseRecord> &record, Instant answered)
{
    const bool changed = record != lastRead_ || !unchangedSince_;
    lastRead_ = record;
    if (changed) {
        unchangedSince_ = answered;
    }
    if (sent_ && record == sent_) {
        // The write took effect although its answer was lost. The lease counts from the time it was
        // sent, as other boxes may have read the record since then.
        onWritten();
    }
    if (!isOurs()) {
        heldUntil_.reset();
        heldToken_.reset();
    }
}

std::optional<LeaseRecord> FencedLease::toWrite(Instant now) const
{
    if (!unchangedSince_) {
        return std::nullopt;
    }
    if (!lastRead_) {
        return LeaseRecord{self_, 1, 1};
    }
    if (isOurs()) {
        const bool due = !heldUntil_ || now + policy_.length - policy_.renewEvery >= *heldUntil_;
        if (!due) {
            return std::nullopt;
        }
        // An expired lease is taken again with a new token, as other boxes may have sent orders
        // since.
        const bool lapsed = !heldUntil_ || now >= *heldUntil_;
        return LeaseRecord{self_, lastRead_->token + (lapsed ? 1 : 0), lastRead_->renewal + 1};
    }
    const bool expired = now - *unchangedSince_ >= policy_.length;
    return expired ? std::optional(LeaseRecord{self_, lastRead_->token + 1, lastRead_->renewal + 1})
                   : std::nullopt;
}

void FencedLease::onSend(const LeaseRecord &record, Instant now)
{
    sent_ = record;
    sentAt_ = now;
}

void FencedLease::onWritten()
{
    if (heldToken_ != sent_->token) {
        heldSince_ = sentAt_;
    }
    lastRead_ = sent_;
    unchangedSince_ = sentAt_;
    heldToken_ = sent_->token;
    heldUntil_ = sentAt_ + policy_.length;
    sent_.reset();
}

std::optional<std::uint64_t> FencedLease::tokenFor(bool serverChecksToken, Instant now) const
{
    if (!isOurs() || !heldUntil_ || now >= *heldUntil_) {
        return std::nullopt;
    }
    if (!serverChecksToken && now < *heldSince_ + policy_.guard) {
        return std::nullopt;
    }
    return heldToken_;
}

} // namespace limereel::placement
