#include "outcome/ResultCode.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace limereel::outcome {

namespace {

using enum ResultCode;

constexpr auto Table = std::to_array<ResultInfo>({
        {Ok, "ok", Ran::Ran, 200, false, "none needed"},
        {BadRequest, "bad-request", Ran::NotRun, 400, false,
         "mend the request as the message says"},
        {BadKey, "bad-key", Ran::NotRun, 401, false, "send a valid API key as a bearer token"},
        {PoolForbidden, "pool-forbidden", Ran::NotRun, 403, false,
         "ask the operator to allow the pool for the organisation"},
        {UnknownModel, "unknown-model", Ran::NotRun, 404, false,
         "name a model of an existing pool"},
        {UnknownService, "unknown-service", Ran::NotRun, 404, false, "name an existing service"},
        {TooLarge, "too-large", Ran::NotRun, 413, false, "send a smaller head or body"},
        {MissingIdempotencyKey, "missing-idempotency-key", Ran::NotRun, 428, false,
         "send an Idempotency-Key header, as the service demands one"},
        {UnknownPath, "unknown-path", Ran::NotRun, 404, false,
         "use a path of the caller interface"},
        {NoConfiguration, "no-configuration", Ran::NotRun, 503, false,
         "come back later; the box has not yet received its configuration"},
        {Stopping, "stopping", Ran::NotRun, 503, false, "come back at another box"},
        {EnginesFull, "engines-full", Ran::NotRun, 429, false, "come back after Retry-After"},
        {OrganisationLimit, "organisation-limit", Ran::NotRun, 429, false,
         "come back after Retry-After, or ask for a higher limit"},
        {NoEngine, "no-engine", Ran::NotRun, 503, false, "come back after Retry-After"},
        {ConnectFailed, "connect-failed", Ran::NotRun, 503, true, "come back after Retry-After"},
        {BackendRefused, "backend-refused", Ran::NotRun, 503, true, "come back after Retry-After"},
        {ClaimUnavailable, "claim-unavailable", Ran::NotRun, 503, false,
         "come back after Retry-After; the platform can't record the claim now"},
        {AlreadyClaimed, "already-claimed", Ran::NotRun, 409, false,
         "the key was used before; this request did not run, look up what the first one did"},
        {TooManyConnections, "too-many-connections", Ran::NotRun, 503, false,
         "come back after Retry-After"},
        {RetryBudgetSpent, "retry-budget-spent", Ran::NotRun, 503, false,
         "come back after Retry-After"},
        {ClaimUnknown, "claim-unknown", Ran::NotRun, 503, false,
         "this request did not run, but its key may be taken; ask again with a new key"},
        {EndsServers, "ends-servers", Ran::NotRun, 503, false,
         "don't send it again as it is; ask the operator, who can lift it"},
        {RunsAlone, "runs-alone", Ran::NotRun, 503, false, "come back after Retry-After"},
        {ServersRest, "servers-rest", Ran::NotRun, 503, false, "come back after Retry-After"},
        {ServersFull, "servers-full", Ran::NotRun, 503, false, "come back after Retry-After"},
        {StreamOriginUnknown, "stream-origin-unknown", Ran::NotRun, 503, false,
         "nobody knows which software version began the stream; begin it anew"},
        {VersionGone, "version-gone", Ran::NotRun, 503, false,
         "no backend server of the software version that began the stream is left; begin it anew"},
        {PartEndsServers, "part-ends-servers", Ran::NotRun, 503, false,
         "leave the part of the prompt out that the message names; ask the operator, who can lift "
         "it"},
        {OtherConfiguration, "other-configuration", Ran::NotRun, 503, false,
         "come back after Retry-After"},
        {MemoryFull, "memory-full", Ran::NotRun, 503, false, "come back after Retry-After"},
        {BackendFailed, "backend-failed", Ran::Ran, 502, false,
         "the backend server answered with a failure; see the message"},
        {StreamCut, "stream-cut", Ran::Ran, 502, false,
         "the answer is not whole; ask again if it may be repeated"},
        {ForeignAnswer, "foreign-answer", Ran::Unknown, 502, false,
         "the answer was of another request and was thrown away"},
        {CallerLeft, "caller-left", Ran::Ran, 499, false, "none; the caller closed the connection"},
        {AnswerLost, "answer-lost", Ran::Unknown, 504, false,
         "it may have run; look before asking again"},
});

} // namespace

std::span<const ResultInfo> resultTable()
{
    return Table;
}

const ResultInfo &info(ResultCode code)
{
    const auto row = std::ranges::find(Table, code, &ResultInfo::code);
    if (row == Table.end()) {
        throw std::logic_error("internal error: result code without a row in the table");
    }
    return *row;
}

std::string_view text(Ran ran)
{
    switch (ran) {
    case Ran::NotRun:
        return "not-run";
    case Ran::Ran:
        return "ran";
    case Ran::Unknown:
        break;
    }
    return "unknown";
}

} // namespace limereel::outcome
