/** \file
 * Computes when a refused caller should retry: from the rate at which capacity becomes free, with
 * random jitter, so that callers refused together don't return together.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <random>

namespace limereel::admission {

/** The smoothed rate at which requests end, and the retry delay that follows from it. */
class DrainRate
{
public:
    explicit DrainRate(kernel::Instant now)
        : since_(now)
    {
    }

    /** Counts the end of one request. */
    void noteEnd(kernel::Instant now);

    /** Counts a refusal. Refused callers that will return lengthen the retry delay. */
    void noteRefusal(kernel::Instant now);

    /** Smoothed number of requests that end per second. */
    double perSecond(kernel::Instant now);

    /** Time until the caller should retry: 1 s to 60 s, plus a random part of up to half of it. */
    kernel::Duration retryDelay(kernel::Instant now, std::mt19937_64 &random);

private:
    void roll(kernel::Instant now);

    kernel::Instant since_;
    double ends_ = 0;        ///< In the current window.
    double refusals_ = 0;    ///< In the current window.
    double endRate_ = 0;     ///< Smoothed, per second.
    double refusalRate_ = 0; ///< Smoothed, per second.
    bool measured_ = false;
};

} // namespace limereel::admission
