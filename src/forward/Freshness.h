/** \file
 * How recently the configuration in force was confirmed to be the newest one, and whether that
 * still allows a request that needs a key.
 *
 * A confirmation counts from when its question was sent, on the steady clock: the answer may have
 * waited anywhere on its way. So a process that was frozen, or that a store no longer answers,
 * notices by itself. What then becomes of keys is the operator's choice (UnconfirmedKeys).
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace limereel::forward {

/** What becomes of API keys once the configuration has not been confirmed for too long. */
enum class UnconfirmedKeys : std::uint8_t {
    Refuse, ///< Nothing with a key runs: a key that was taken away stops everywhere in time.
    Honour  ///< The last configuration known goes on: a cut-off hall keeps serving.
};

/** The freshness of one box's configuration. */
class Freshness
{
public:
    /**
     * \param usableFor how long after a confirmation the configuration counts as confirmed.
     * \param unconfirmed what becomes of keys after that.
     */
    Freshness(kernel::Duration usableFor, UnconfirmedKeys unconfirmed)
        : usableFor_(usableFor)
        , unconfirmed_(unconfirmed)
    {
    }

    /** The configuration in force was the newest one at \a asOf or later. */
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

    /** Since the last confirmation; nothing before the first one. */
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
