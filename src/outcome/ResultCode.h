/** \file
 * The numbered result of every request, and whether the request ran.
 *
 * Numbers are stable: callers and alarms use them. The hundreds say what happened to the request: 0
 * answered; 1xx the caller's own fault, not run; 2xx refused, not run; 3xx ran and failed or was
 * cut; 4xx unknown whether it ran. docs/RESULT_CODES.md holds the table, and a test compares the
 * two.
 */
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace limereel::outcome {

/** Whether a request reached the point where a backend server may have begun it. */
enum class Ran : std::uint8_t { NotRun, Ran, Unknown };

enum class ResultCode : std::uint16_t {
    Ok = 0,
    BadRequest = 100,
    BadKey = 101,
    PoolForbidden = 102,
    UnknownModel = 103,
    UnknownService = 104,
    TooLarge = 105,
    MissingIdempotencyKey = 106,
    UnknownPath = 107,
    NoConfiguration = 200,
    Stopping = 201,
    EnginesFull = 202,
    OrganisationLimit = 203,
    NoEngine = 204,
    ConnectFailed = 205,
    BackendRefused = 206,
    ClaimUnavailable = 207,
    AlreadyClaimed = 208,
    TooManyConnections = 209,
    RetryBudgetSpent = 210,
    ClaimUnknown = 211,
    EndsServers = 212,
    RunsAlone = 213,
    ServersRest = 214,
    ServersFull = 215,
    StreamOriginUnknown = 216,
    VersionGone = 217,
    PartEndsServers = 218,
    OtherConfiguration = 219,
    MemoryFull = 220,
    BackendFailed = 300,
    StreamCut = 301,
    ForeignAnswer = 302,
    CallerLeft = 303,
    AnswerLost = 400
};

/** One row of the table of results. */
struct ResultInfo
{
    ResultCode code;
    std::string_view name;   ///< Stable, kebab-case.
    Ran ran;                 ///< Whether the request ran.
    int httpStatus;          ///< Status of the answer when its head has not been sent yet.
    bool retryElsewhere;     ///< Another backend server may be tried, as the request has not run.
    std::string_view remedy; ///< What the caller or the operator can do.
};

/** All results, in the order of their numbers. */
std::span<const ResultInfo> resultTable();

/** The row of \a code. */
const ResultInfo &info(ResultCode code);

/** "not-run", "ran" or "unknown". */
std::string_view text(Ran ran);

} // namespace limereel::outcome
