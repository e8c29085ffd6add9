#include "gateway/RunState.h"

#include "gateway/DetourService.h"
#include "http/EndToEnd.h"

namespace limereel::gateway {

void Interrupt::end(Interruption why)
{
    // Silence ends only an attempt, so any reason that ends the run replaces it.
    if (reason == Interruption::None || reason == Interruption::Silent) {
        reason = why;
    }
    if (connection) {
        connection->close();
    }
    if (endWait) {
        endWait();
    }
}

void AttemptCounts::add(AttemptEnd end)
{
    unsent += end == AttemptEnd::Unsent ? 1 : 0;
    rejected += end == AttemptEnd::Rejected ? 1 : 0;
    sends += end == AttemptEnd::MayHaveRun ? 1 : 0;
}

RunState::RunState(services::Context &ofContext, FleetView &ofWorld, http::Request ofCaller,
                   http::Reply &toCaller)
    : context(ofContext)
    , fleetView(ofWorld)
    , request(std::move(ofCaller))
    , reply(toCaller)
    , began(ofContext.now())
    , guard(ofContext)
{
}

std::optional<http::CallFailure> RunState::holdAnswer(std::size_t bytes)
{
    if (answerBytes && answerBytes->resize(bytes)) {
        return std::nullopt;
    }
    context.counters.add("answers_without_room");
    return http::CallFailure{outcome::FailurePoint::AnswerBegun, false,
                             "there is no room for more of it"};
}

void RunState::beginAttempt()
{
    answerBytes.emplace(context.answerBytes, [holder = interrupt] {
        if (holder->connection) {
            holder->connection->close();
        }
    });
    sentAt.reset();
    headAt.reset();
    firstPiece.reset();
    failure.reset();
    bodyEnd.reset();
    through.clear();
    sendsThere.reset();
    toldLoad.reset();
    answeredWhole = false;
    answeredFailure = false;
}

void RunState::notePiece()
{
    if (!firstPiece) {
        firstPiece = context.now();
    }
    guard.notePiece();
}

void RunState::noteTooLong(std::optional<http::AnswerBound> bound) const
{
    if (bound) {
        context.counters.add("answers_too_long", {{"bound", std::string(text(*bound))}});
    }
}

void RunState::noteBytes(const forward::StreamOrigin &writer)
{
    if (!origin) {
        origin = writer;
    }
    if (!sentBytes) {
        sentBytes = true;
        onFirstBytes();
    }
}

const forward::Prompt *RunState::prompt() const
{
    return route.promptAffinity && !call.prompt.parts.empty() ? &call.prompt : nullptr;
}

http::Fields ownEndToEnd(const RunState &run, const http::Fields &fields)
{
    return http::endToEnd(fields, run.fleetView.adapter().dialect.ownFields);
}

http::Fields serverFields(const RunState &run, const http::Fields &fields)
{
    http::Fields own = ownEndToEnd(run, fields);
    if (!run.forOtherBox) {
        return own;
    }
    return withSends(run, own.without(DetourRefused).without(DetourSends), 1);
}

http::Fields withSends(const RunState &run, http::Fields fields, std::uint32_t underWay)
{
    if (!run.madeBefore) {
        return fields;
    }
    peer::SendsMade made;
    made.runs = run.counts.sends + underWay;
    made.rejections = run.counts.rejected;
    made.unusedRepeats = run.repeatUnused ? 1 : 0;
    made.lastServer = underWay > 0 ? run.choice.server.hash() : run.lastRunAt;
    return fields.without(DetourSends).with(DetourSends, text(made));
}

bool lacksSignature(const forward::AnswerHead &head)
{
    return head.status / 100 == 2 && !head.notRun && !head.signedByBackend;
}

bool promisesNotRun(int status)
{
    constexpr int RequestTimeout = 408;
    constexpr int Misdirected = 421;
    constexpr int TooManyRequests = 429;
    constexpr int ServiceUnavailable = 503;
    return status == RequestTimeout || status == Misdirected || status == TooManyRequests
           || status == ServiceUnavailable;
}

} // namespace limereel::gateway
