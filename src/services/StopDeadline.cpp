#include "services/StopDeadline.h"

namespace limereel::services {

namespace {

// A poll that comes this many poll intervals or more after the last one indicates a stall.
constexpr int StallPolls = 3;

} // namespace

bool StopDeadline::expired(kernel::Instant now)
{
    const bool stalled = now - lastPoll_ >= schedule_.pollInterval * StallPolls;
    lastPoll_ = now;
    if (stalled && !extended_ && now + schedule_.deadlineExtension > schedule_.deadline) {
        extended_ = true;
        schedule_.deadline = now + schedule_.deadlineExtension;
    }
    return now >= schedule_.deadline;
}

} // namespace limereel::services
