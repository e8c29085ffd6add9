#include "services/StopEnd.h"

namespace limereel::services {

namespace {

// A look that comes after so many times its pause tells of a standstill.
constexpr int StandstillLooks = 3;

} // namespace

bool StopEnd::over(kernel::Instant now)
{
    const bool stoodStill = now - looked_ >= times_.lookEvery * StandstillLooks;
    looked_ = now;
    if (stoodStill && !respited_ && now + times_.respite > times_.end) {
        respited_ = true;
        times_.end = now + times_.respite;
    }
    return now >= times_.end;
}

} // namespace limereel::services
