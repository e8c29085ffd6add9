/** \file
 * A token bucket that is passed the time, for an organisation's requests per minute and for the
 * calls that a router may make to the platform.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::admission {

/**
 * Fills at a constant rate up to a burst. Each call takes one token; if none is left, wait() says
 * when to retry.
 */
class TokenBucket
{
public:
    /** \param rate tokens per second. \param burst the most tokens it holds; it starts full. */
    TokenBucket(double rate, double burst, kernel::Instant now)
        : rate_(rate)
        , burst_(burst)
        , tokens_(burst)
        , lastFilled_(now)
    {
    }

    bool take(kernel::Instant now);

    /** Time until one token is available. */
    kernel::Duration wait(kernel::Instant now);

    /** Changes the rate from now on; tokens already collected are kept, up to the new burst. */
    void setRate(double rate, double burst, kernel::Instant now);

private:
    void fill(kernel::Instant now);

    double rate_;
    double burst_;
    double tokens_;
    kernel::Instant lastFilled_;
};

} // namespace limereel::admission
