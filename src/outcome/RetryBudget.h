/** \file
 * A budget for retries, filled by first attempts, so that a failing pool gets at most a fixed part
 * more requests than its callers send.
 */
#pragma once

namespace limereel::outcome {

/**
 * A budget of retries. It does not depend on time: an idle router keeps what it has earned, up to
 * the cap.
 */
class RetryBudget
{
public:
    /**
     * \param ratio retries earned by one first attempt, 0 to 1. \param cap the largest budget; it
     * starts full.
     */
    RetryBudget(double ratio, double cap)
        : ratio_(ratio)
        , cap_(cap)
        , left_(cap)
    {
    }

    /** Counts a first attempt. */
    void earn();

    /** Takes one retry. \return false if the budget is spent. */
    bool spend();

    double left() const { return left_; }

private:
    double ratio_;
    double cap_;
    double left_;
};

} // namespace limereel::outcome
