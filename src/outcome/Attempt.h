/** \file
 * What may be said of an attempt that failed, and whether another may follow.
 *
 * The one rule behind the table: a request is "not run" only while no byte of it has left for a
 * backend server, or when that server itself refused it before it began. Everything else ran, or
 * nobody knows.
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
    bool callerHasBytes = false; ///< Part of an answer has gone to the caller.
};

/** What the caller is told, and whether the router may try again first. */
struct Verdict
{
    ResultCode code = ResultCode::Ok;
    Ran ran = Ran::NotRun;
    bool mayRetry = false;

    auto operator<=>(const Verdict &) const = default;
};

/** Judges an attempt that failed at \a point. */
Verdict classifyFailure(FailurePoint point, const Request &request);

/** The name of \a point for logs and counters. */
const char *text(FailurePoint point);

} // namespace limereel::outcome
