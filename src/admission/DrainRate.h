/** \file
 * When a refused caller should come back: worked out from how fast places become free, spread by
 * chance so that those refused together don't return together.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <random>

namespace limereel::admission {

/** The smoothed rate at which requests end, and the advice that follows from it. */
class DrainRate
{
public:
    explicit DrainRate(kernel::Instant now)
        : since_(now)
    {
    }

    /** Counts the end of one request. */
    void noteEnd(kernel::Instant now);

    /** Counts a refusal; those waiting to come back lengthen the advice. */
    void noteRefusal(kernel::Instant now);

    /** Ends a second, smoothed. */
    double perSecond(kernel::Instant now);

    /** When to come back: 1 s to 60 s, with up to a half more by chance. */
    kernel::Duration retryDelay(kernel::Instant now, std::mt19937_64 &random);

private:
    void roll(kernel::Instant now);

    kernel::Instant since_;
    double ends_ = 0;        ///< In the running window.
    double refusals_ = 0;    ///< In the running window.
    double endRate_ = 0;     ///< Smoothed, a second.
    double refusalRate_ = 0; ///< Smoothed, a second.
    bool measured_ = false;
};

} // namespace limereel::admission
