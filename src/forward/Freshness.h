/** \file
 * How recently the configuration in force was confirmed to be the newest one, and whether that is
 * recent enough to serve requests that need a key.
 *
 * A confirmation counts from when its request was sent, on the steady clock, since the answer may
 * have been delayed by any amount. So a process that was frozen, or that gets no answer from a
 * store, notices by itself. The operator chooses what happens to keys then (UnconfirmedKeys).
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace limereel::forward {

/** What happens to requests with API keys once the configuration has not been confirmed for too
 * long. */
enum class UnconfirmedKeys : std::uint8_t {
    Refuse, ///< Requests with a key are refused: a revoked key stops working everywhere in time.
    Honour  ///< The last known configuration stays in use: a hall that is cut off keeps serving.
};

/** The freshness of one box's configuration. */
class Freshness
{
public:
    /**
     * \param usableFor how long after a confirmation the configuration counts as confirmed.
     * \param unconfirmed what happens to keys after that.
     */
    Freshness(kernel::Duration usableFor, UnconfirmedKeys unconfirmed)
        : usableFor_(usableFor)
        , unconfirmed_(unconfirmed)
    {
    }

    /** Records that the configuration in force was the newest one at \a asOf or later. */
    void confirm(kernel::Instant asOf)
    {
        confirmed_ = confirmed_ ? std::max(*confirmed_, asOf) : asOf;
    }

    /** Replaces both settings. */
    void setPolicy(kernel::Duration usableFor, UnconfirmedKeys unconfirmed)
    {
        usableFor_ = usableFor;
        unconfirmed_ = unconfirmed;
    }

    /** Whether the configuration was confirmed recently enough. */
    bool confirmed(kernel::Instant now) const
    {
        return confirmed_ && now - *confirmed_ < usableFor_;
    }

    /** Whether requests with keys may run. A box that never had a confirmation serves none. */
    bool usable(kernel::Instant now) const
    {
        const bool goesOn = confirmed_ && unconfirmed_ == UnconfirmedKeys::Honour;
        return goesOn || confirmed(now);
    }

    /** Time since the last confirmation; nothing before the first one. */
    std::optional<kernel::Duration> age(kernel::Instant now) const
    {
        return confirmed_ ? std::optional(now - *confirmed_) : std::nullopt;
    }

private:
    kernel::Duration usableFor_;
    UnconfirmedKeys unconfirmed_;
    std::optional<kernel::Instant> confirmed_;
};

} // namespace limereel::forward
