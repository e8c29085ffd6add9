#include "outcome/Attempt.h"

namespace limereel::outcome {

namespace {

ResultCode codeOf(FailurePoint point)
{
    switch (point) {
    case FailurePoint::BeforeConnect:
    case FailurePoint::ConnectedUnsent:
        return ResultCode::ConnectFailed;
    case FailurePoint::RefusedUnstarted:
        return ResultCode::BackendRefused;
    case FailurePoint::AnswerBegun:
        return ResultCode::StreamCut;
    case FailurePoint::AnsweredFailure:
        return ResultCode::BackendFailed;
    case FailurePoint::AnswerForeign:
        return ResultCode::ForeignAnswer;
    case FailurePoint::PartSent:
    case FailurePoint::AllSent:
        break;
    }
    return ResultCode::AnswerLost;
}

} // namespace

Verdict classifyFailure(FailurePoint point, const Request &request)
{
    const ResultCode code = codeOf(point);
    const Ran ran = info(code).ran;
    if (request.callerHasBytes) {
        return {code, ran, false};
    }
    // A failure that the server itself answered would most likely recur.
    const bool repeatHelps = request.repeatable && point != FailurePoint::AnsweredFailure;
    return {code, ran, ran == Ran::NotRun || repeatHelps};
}

const char *text(FailurePoint point)
{
    switch (point) {
    case FailurePoint::BeforeConnect:
        return "before-connect";
    case FailurePoint::ConnectedUnsent:
        return "connected-unsent";
    case FailurePoint::PartSent:
        return "part-sent";
    case FailurePoint::AllSent:
        return "all-sent";
    case FailurePoint::RefusedUnstarted:
        return "refused-unstarted";
    case FailurePoint::AnswerBegun:
        return "answer-begun";
    case FailurePoint::AnsweredFailure:
        return "answered-failure";
    case FailurePoint::AnswerForeign:
        break;
    }
    return "answer-foreign";
}

} // namespace limereel::outcome
