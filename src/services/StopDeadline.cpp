#include "services/StopDeadline.h"

namespace limereel::services {

namespace {

// A poll that comes this many poll intervals or more after the last one indicates a stall.
constexpr int StandstillLooks = 3;

} // namespace

bool StopDeadline::expired(kernel::Instant now)
{
    const bool stoodStill = now - looked_ >= times_.pollInterval * StandstillLooks;
    looked_ = now;
    if (stoodStill && !respited_ && now + times_.deadlineExtension > times_.deadline) {
        respited_ = true;
        times_.deadline = now + times_.deadlineExtension;
    }
    return now >= times_.deadline;
}

} // namespace limereel::services
