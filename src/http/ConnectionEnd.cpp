#include "http/ConnectionEnd.h"

namespace limereel::http {

std::string_view text(EndReason reason)
{
    switch (reason) {
    case EndReason::CallerClosed:
        return "caller-closed";
    case EndReason::CallerBroke:
        return "caller-broke";
    case EndReason::RestLimit:
        return "rest-limit";
    case EndReason::HeadLimit:
        return "head-limit";
    case EndReason::Draining:
        return "draining";
    case EndReason::LastAnswer:
        return "last-answer";
    case EndReason::Unanswered:
        return "unanswered";
    case EndReason::RunFailed:
        return "run-failed";
    case EndReason::Refused:
        break;
    }
    return "refused";
}

} // namespace limereel::http
