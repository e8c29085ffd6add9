#include "services/StopTimes.h"

namespace limereel::services {

namespace {

// From a request's deadline until its final answer is on its way, on a busy box.
constexpr kernel::Duration FinalAnswerTime = 100ms;

} // namespace

bool StopTimes::mayBegin(kernel::Instant cameAt, kernel::Instant deadline) const
{
    return cameAt < drainsAt || deadline <= endsAt - FinalAnswerTime;
}

} // namespace limereel::services
