#include "outcome/RetryBudget.h"

#include <algorithm>

namespace limereel::outcome {

void RetryBudget::earn()
{
    left_ = std::min(cap_, left_ + ratio_);
}

bool RetryBudget::spend()
{
    if (left_ < 1) {
        return false;
    }
    left_ -= 1;
    return true;
}

} // namespace limereel::outcome
