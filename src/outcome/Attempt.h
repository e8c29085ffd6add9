/** \file
 * Determines what can be said about a failed attempt, and whether another one may follow.
 *
 * One rule is behind the table: a request is "not run" only while no byte of it has been sent to a
 * backend server, or when that server itself refused it before it began. In all other cases it ran,
 * or it is unknown whether it ran.
 */
#pragma once

#include "outcome/ResultCode.h"

#include <cstdint>

namespace limereel::outcome {

/** How far an attempt had come when it failed. */
enum class FailurePoint : std::uint8_t {
    BeforeConnect,    ///< No connection was made.
    ConnectedUnsent,  ///< Connected; no byte of the request was written.
    PartSent,         ///< At least one byte was handed to the network.
    AllSent,          ///< All was written; no byte of an answer came.
    RefusedUnstarted, ///< The server said that it had not begun.
    AnswerBegun,      ///< Part of the answer came.
    AnsweredFailure,  ///< A whole answer came, and it says that the work failed.
    AnswerForeign     ///< The answer was of another request.
};

/** What the router knows of the request. */
struct Request
{
    bool repeatable = false;     ///< Running it twice does no harm.
    bool callerHasBytes = false; ///< Part of an answer has been sent to the caller.
};

/** The result for the caller, and whether the router may retry first. */
struct Verdict
{
    ResultCode code = ResultCode::Ok;
    Ran ran = Ran::NotRun;
    bool mayRetry = false;

    auto operator<=>(const Verdict &) const = default;
};

/** Classifies an attempt that failed at \a point. */
Verdict classifyFailure(FailurePoint point, const Request &request);

/** The name of \a point for logs and counters. */
const char *text(FailurePoint point);

} // namespace limereel::outcome
