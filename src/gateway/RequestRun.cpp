#include "gateway/RequestRun.h"

#include "gateway/RunLog.h"
#include "services/Answers.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using outcome::ResultCode;

namespace {

constexpr std::uint32_t MaxRejections = 2;
constexpr std::uint32_t MaxUnsent = 3;
// While a part of a prompt is only suspected, requests that share it are answered within moments,
// and then it is free again.
constexpr kernel::Duration LongestClearing = 150ms;
constexpr kernel::Duration ClearingPoll = 25ms;
constexpr const char *AllRest = "all backend servers that could run it have turned requests away "
                                "and asked for rest";
constexpr const char *NoServerOfVersion =
        "no backend server of the software version that began the stream is left";
constexpr const char *InternalError = "internal error";
constexpr const char *NoPlace =
        "no backend server that could run it has a place for it in time; come back then";

} // namespace

RequestRun::RequestRun(services::Context &context, FleetView &fleetView, ConnectionPool &pool,
                       PlaceService &places, http::Request request, http::Reply &reply)
    : run_(context, fleetView, std::move(request), reply)
    , pool_(pool)
    , places_(places)
    , selection_(run_, places)
    , detours_(context.kernel.find<DetourService>("detours"))
    , streams_(context.kernel.find<StreamService>("streams"))
    , deadlineTimer_(context.io, context.counters, "deadline")
{
}

RequestRun::~RequestRun()
{
    run_.interrupt->ended = true;
}

asio::awaitable<void> RequestRun::serve()
{
    std::exception_ptr fault;
    try {
        co_await serveCall();
    } catch (...) {
        fault = std::current_exception();
    }
    if (fault) {
        co_await endFaulty();
        std::rethrow_exception(fault);
    }
}

// What the run has taken is given back. Its caller is told, unless it has a part of an answer, and
// the connection is closed by whoever hears of the fault.
asio::awaitable<void> RequestRun::endFaulty()
{
    releasePlace(run_.sentAt ? AttemptEnd::MayHaveRun : AttemptEnd::Unsent);
    run_.reply.closeAfter();
    if (!run_.reply.begun()) {
        Refusal refusal{ResultCode::AnswerLost, InternalError};
        co_await refuse(std::move(refusal));
    }
}

asio::awaitable<void> RequestRun::serveCall()
{
    auto call = run_.fleetView.adapter().dialect.readCall(run_.request);
    if (!call) {
        Refusal refusal{ResultCode::BadRequest, call.error()};
        co_await refuse(std::move(refusal));
        co_return;
    }
    run_.call = std::move(*call);
    // Before any field of the system is added, as the caller's Connection field must not take it
    // away.
    run_.request.fields = ownEndToEnd(run_, run_.request.fields);
    if (servedFor_) {
        run_.call.callerTimeout = servedFor_->left;
        run_.call.resumeAfter = servedFor_->resumeAfter;
        run_.origin = servedFor_->origin;
        run_.forOtherBox = true;
        run_.madeBefore = servedFor_->made;
        noteRunElsewhere(servedFor_->made.value_or(peer::SendsMade()));
    }
    if (auto refusal = admit()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    if (auto refusal = checkStop()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    run_.guard.setParts({.organisation = run_.organisation,
                         .method = run_.request.method,
                         .host = run_.call.host,
                         .target = run_.request.target,
                         .body = run_.request.body},
                        &run_.call.prompt);
    if (auto refusal = checkToldOrigin()) {
        co_await refuse(std::move(*refusal));
        co_return;
    }
    armTimers();
    run_.reply.watchClient([interrupt = run_.interrupt] {
        if (!interrupt->ended) {
            interrupt->end(Interruption::CallerLeft);
        }
    });
    if (takesStreamUp()) {
        if (auto refusal = co_await findOrigin()) {
            co_await refuse(std::move(*refusal));
            co_return;
        }
    }
    if (!servedFor_) {
        run_.fleetView.budget().countRequest(run_.service, run_.began);
        run_.onFirstBytes = [this] { recordStream(); };
    }
    co_await runAttempts();
    if (run_.route.stream && run_.answeredWhole && !servedFor_) {
        streams_.noteEnded(streamId());
    }
    releasePlace(AttemptEnd::Unsent);
}

void RequestRun::armTimers()
{
    // An answer that arrived while the process stalled is delivered even after the deadline.
    const auto heard = [interrupt = run_.interrupt] {
        return interrupt->connection ? interrupt->connection->heard() : http::Heard{};
    };
    const auto onDeadline = [interrupt = run_.interrupt] {
        interrupt->end(Interruption::Deadline);
    };
    deadlineTimer_.start(run_.left(), heard, onDeadline);
}

asio::awaitable<void> RequestRun::runAttempts()
{
    while (!run_.stopped()) {
        if (!mayContinue()) {
            break;
        }
        if (chooseDetour()) {
            const AttemptEnd end = co_await takeDetour();
            if (end == AttemptEnd::Answered) {
                co_return;
            }
            if (!mayTryAgainAfterDetour(end)) {
                break;
            }
            continue;
        }
        if (auto refusal = co_await acquireSendPermission()) {
            run_.lastMessage = refusal->message;
            if (run_.counts.sends > 0) {
                break;
            }
            co_await refuse(std::move(*refusal));
            co_return;
        }
        auto choice = co_await selection_.choose();
        if (!choice && run_.origin && run_.counts.unsent > 0 && !noWayToVersion_) {
            noWayToVersion_ = true;
            continue;
        }
        if (!choice) {
            run_.lastMessage =
                    run_.lastMessage.empty() ? "no backend server can be used" : run_.lastMessage;
            break;
        }
        if (run_.left() < MinTimeLeft) {
            run_.interrupt->reason = Interruption::Deadline;
            break;
        }
        run_.choice = std::move(*choice);
        run_.beginAttempt();
        const AttemptEnd end = co_await attempt();
        releasePlace(end);
        co_await noteEnd(end);
        if (end == AttemptEnd::Answered) {
            co_return;
        }
        selection_.noteTried(run_.choice.server.id);
        if (end == AttemptEnd::MayHaveRun) {
            run_.lastRunAt = run_.choice.server.hash();
        }
        // Counted however the attempt ended, so that a request that may have run is never reported
        // as not run.
        run_.counts.add(end);
        if (run_.interrupt->reason == Interruption::Silent) {
            run_.interrupt->reason = Interruption::None;
        }
        if (run_.stopped() || !mayTryAgain(end)) {
            break;
        }
    }
    co_await giveUp();
}

// A stream whose caller has events of it goes on at the version that began it or not at all.
bool RequestRun::mayContinue()
{
    if (!run_.origin) {
        return true;
    }
    run_.origin = run_.fleetView.servers().corrected(*run_.origin);
    if (run_.fleetView.servers().anyContinues(*run_.origin)) {
        return true;
    }
    run_.lastMessage = NoServerOfVersion;
    run_.context.counters.add("streams_not_continued", {{"why", "version-gone"}});
    logNotContinued(run_, "version-gone");
    return false;
}

// A request during which servers have crashed may have to run alone, which means one send at a time
// in the whole fleet, or may not run at all.
asio::awaitable<std::optional<RequestRun::Refusal>> RequestRun::acquireSendPermission()
{
    const kernel::Duration longest =
            std::min<kernel::Duration>(LongestClearing, run_.route.objective / 8);
    const kernel::Instant until = run_.context.now() + longest;
    services::SendPermission permission = co_await run_.guard.acquireSendPermission(run_.left());
    while (!permission.granted() && permission.mayClear() && run_.context.now() < until
           && !run_.stopped()) {
        asio::steady_timer timer(run_.context.io, ClearingPoll);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        permission = co_await run_.guard.acquireSendPermission(run_.left());
    }
    if (permission.granted()) {
        co_return std::nullopt;
    }
    logSendDenied(run_, permission);
    co_return Refusal{services::codeOf(permission), services::denialMessage(permission), true,
                      permission.notBefore};
}

asio::awaitable<void> RequestRun::noteEnd(AttemptEnd end)
{
    using services::AttemptOutcome;
    AttemptOutcome sight = AttemptOutcome::Nothing;
    if (run_.answeredWhole) {
        sight = run_.answeredFailure ? AttemptOutcome::Failed : AttemptOutcome::Whole;
    } else if (end == AttemptEnd::MayHaveRun) {
        const bool lost = run_.failure == forward::Failure::Lost && !run_.stopped();
        sight = lost ? AttemptOutcome::Lost : AttemptOutcome::Interrupted;
    }
    const forward::ListedServer &server = run_.choice.server;
    services::AttemptServer tried{server.id, server.hash(), server.address};
    co_await run_.guard.noteEnd(sight, std::move(tried));
}

void RequestRun::releasePlace(AttemptEnd end)
{
    if (!run_.place) {
        return;
    }
    const bool rejected = end == AttemptEnd::Rejected;
    PlaceUse use;
    use.rejected = rejected && run_.failure == forward::Failure::Full;
    // A run may also be answered before anything was sent, as when its key has become invalid.
    use.unused = end == AttemptEnd::Unsent || !run_.sentAt || (rejected && !use.rejected);
    if (run_.sentAt && run_.headAt) {
        use.first = *run_.headAt - *run_.sentAt;
    }
    places_.giveBack(*run_.place, use);
    run_.place.reset();
}

bool RequestRun::mayTryAgain(AttemptEnd end)
{
    if (end == AttemptEnd::Unsent) {
        return run_.counts.unsent < MaxUnsent;
    }
    // What may have run is repeated by the box whose caller it is, which alone holds the number of
    // runs when this box ends.
    const bool leftToOther = run_.madeBefore && end == AttemptEnd::MayHaveRun;
    if (leftToOther || ranOut()) {
        return false;
    }
    const bool granted = std::exchange(repeatReserved_, false)
                         || run_.fleetView.budget().take(run_.service, run_.context.now());
    run_.context.counters.add("repeats",
                              {{"granted", granted ? "yes" : "no"},
                               {"reason", end == AttemptEnd::Rejected ? "rejected" : "failed"}});
    run_.repeatUnused = granted;
    return granted;
}

bool RequestRun::ranOut() const
{
    const std::uint32_t rejected =
            run_.counts.rejected + run_.madeBefore.value_or(peer::SendsMade()).rejections;
    return run_.counts.sends >= run_.route.maxAttempts || rejected > MaxRejections
           || (run_.counts.sends > 0 && !run_.repeatable());
}

// Whether another attempt is sure to follow if this one is given up, as far as this box knows.
bool RequestRun::reserveRepeat()
{
    if (checkKey() || !selection_.anotherIsUsable()) {
        return false;
    }
    if (run_.madeBefore) {
        // The box whose caller it is pays for the repeat.
        return run_.madeBefore->unusedRepeats > 0;
    }
    if (!repeatReserved_) {
        repeatReserved_ = run_.fleetView.budget().take(run_.service, run_.context.now());
    }
    return repeatReserved_;
}

asio::awaitable<AttemptEnd> RequestRun::attempt()
{
    BackendExchange exchange(run_, pool_, [this] { return reserveRepeat(); });
    // Called before connecting, because a pooled connection should be used as soon as it is
    // checked, and again after it, because the process may stall while a connection is opened.
    co_await run_.fleetView.catchUp();
    const bool connected = co_await exchange.connect();
    co_await run_.fleetView.catchUp();
    if (!connected || run_.stopped()) {
        co_return AttemptEnd::Unsent;
    }
    // Time has passed since the choice: checks the key, the server and the deadline again.
    if (auto refusal = checkKey()) {
        exchange.returnUnused();
        if (run_.counts.sends > 0) {
            run_.lastMessage = refusal->message;
            run_.interrupt->reason = Interruption::Deadline;
            co_return AttemptEnd::Unsent;
        }
        co_await refuse(std::move(*refusal));
        co_return AttemptEnd::Answered;
    }
    // Since it was chosen, the server may have begun to shut down or asked for backoff, or its hall
    // may have been drained.
    const bool accepts = run_.fleetView.servers().mayBeSent(run_.choice.server, run_.context.now());
    const bool maySend = accepts && run_.guard.mayBeSent() && fitsStream();
    if (!maySend || run_.left() < MinTimeLeft) {
        exchange.returnUnused();
        co_return AttemptEnd::Unsent;
    }
    const AttemptEnd end = co_await exchange.sendAndForward();
    co_return end;
}

// The list may have named another version for the server since it was chosen.
bool RequestRun::fitsStream() const
{
    const auto listed = run_.fleetView.servers().find(run_.choice.server.id);
    return !run_.origin || (listed && run_.origin->mayContinueAt(*listed));
}

asio::awaitable<void> RequestRun::giveUp()
{
    const Interruption reason = run_.interrupt->reason;
    if (reason == Interruption::CallerLeft) {
        run_.context.counters.add("results", {{"kind", "run"}, {"code", "caller-left"}});
        logEnd(run_, "caller-left");
        run_.reply.closeAfter();
        co_return;
    }
    if (run_.reply.begun()) {
        // Closing the connection without ending the answer tells the caller that it is incomplete.
        run_.context.counters.add("results", {{"kind", "stream"}, {"code", "stream-cut"}});
        logEnd(run_, "stream-cut", run_.lastMessage);
        run_.reply.closeAfter();
        co_return;
    }
    const bool promises = run_.failedAnswer && promisesNotRun(run_.failedAnswer->status);
    if (run_.failedAnswer && reason == Interruption::None && (run_.repeatable() || !promises)) {
        run_.context.counters.add("results", {{"kind", "passed"}, {"code", "backend-failed"}});
        logEnd(run_, "backend-failed", run_.lastMessage);
        http::Answer answer = std::move(*run_.failedAnswer);
        answer.fields = withSends(run_, std::move(answer.fields), 0);
        co_await run_.reply.send(std::move(answer));
        co_return;
    }
    Refusal refusal{ResultCode::NoEngine, run_.lastMessage, true};
    const bool versionGone = run_.origin && !run_.fleetView.servers().anyContinues(*run_.origin);
    if (run_.counts.sends > 0) {
        const bool late = reason == Interruption::Deadline;
        refusal = {late ? ResultCode::AnswerLost : ResultCode::BackendFailed, run_.lastMessage};
    } else if (versionGone) {
        refusal = {ResultCode::VersionGone, NoServerOfVersion, true};
    } else if (selection_.noPlace()) {
        refusal = {ResultCode::ServersFull, NoPlace, true, selection_.retryDelay()};
    } else if (selection_.allInBackoff()) {
        refusal = {ResultCode::ServersRest, AllRest, true};
    } else if (run_.counts.rejected > 0) {
        refusal.code = ResultCode::BackendRefused;
    } else if (run_.counts.unsent > 0) {
        refusal.code = ResultCode::ConnectFailed;
    }
    co_await refuse(std::move(refusal));
}

asio::awaitable<void> RequestRun::refuse(Refusal refusal)
{
    const outcome::ResultInfo &info = outcome::info(refusal.code);
    run_.context.counters.add("results", {{"kind", "refused"}, {"code", std::string(info.name)}});
    logEnd(run_, info.name, refusal.message);
    kernel::Duration retryAfter{};
    if (refusal.retryDelay > 0s) {
        retryAfter = refusal.retryDelay;
    } else if (refusal.retryLater) {
        retryAfter = std::clamp<kernel::Duration>(run_.route.objective / 4, 50ms, 500ms);
    }
    services::Refusal answered = services::refusalOf(refusal.code, refusal.message, retryAfter);
    http::Answer answer(info.httpStatus,
                        run_.fleetView.adapter().dialect.refusalFields(run_.call.id, retryAfter),
                        services::refusalJson(run_.call.id, answered));
    answer.fields.add("Content-Type", "application/json");
    if (servedFor_) {
        answer.fields.add(DetourRefused, std::string(info.name));
        answer.fields = withSends(run_, std::move(answer.fields), 0);
    }
    co_await run_.reply.send(std::move(answer));
}

} // namespace limereel::gateway
