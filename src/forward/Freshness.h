/** \file
 * How recently the configuration in force was confirmed to be the newest one, and whether that
 * still allows a request that needs a key.
 *
 * A confirmation counts from when its question was sent, on the steady clock: the answer may have
 * waited anywhere on its way. So a process that was frozen, or that a store no longer answers,
 * stops honouring keys by itself.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <algorithm>
#include <optional>

namespace limereel::forward {

/** The freshness of one box's configuration. */
class Freshness
{
public:
    /** \param usableFor how long after a confirmation keys are honoured. */
    explicit Freshness(kernel::Duration usableFor)
        : usableFor_(usableFor)
    {
    }

    /** The configuration in force was the newest one at \a asOf or later. */
    void confirm(kernel::Instant asOf)
    {
        confirmed_ = confirmed_ ? std::max(*confirmed_, asOf) : asOf;
    }

    /** Replaces how long after a confirmation keys are honoured. */
    void setUsableFor(kernel::Duration usableFor) { usableFor_ = usableFor; }

    bool usable(kernel::Instant now) const { return confirmed_ && now - *confirmed_ < usableFor_; }

    /** Since the last confirmation; nothing before the first one. */
    std::optional<kernel::Duration> age(kernel::Instant now) const
    {
        return confirmed_ ? std::optional(now - *confirmed_) : std::nullopt;
    }

private:
    kernel::Duration usableFor_;
    std::optional<kernel::Instant> confirmed_;
};

} // namespace limereel::forward
