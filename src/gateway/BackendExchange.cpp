#include "gateway/BackendExchange.h"

#include "gateway/RunAfter.h"
#include "gateway/RunLog.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using forward::AnswerHead;
using forward::Completeness;
using forward::Failure;

namespace {

constexpr int MaxForeignAnswers = 3;
constexpr int MaxInterimHeads = 16;
constexpr int SwitchingProtocols = 101; ///< Final, and nobody has asked for it.
// A connection is established within a few round trips or not in time, so connecting may take this
// fraction of the route's objective.
constexpr int ConnectFraction = 4;
constexpr kernel::Duration MinConnectTimeout = 50ms;
constexpr kernel::Duration MaxConnectTimeout = 300ms;
constexpr kernel::Duration SilenceCheckInterval = 100ms;
// An engine sends nothing while it processes a prompt; this many tokens per millisecond is slow.
constexpr std::int64_t SlowPromptTokensPerMs = 30;
constexpr kernel::Duration PromptMargin = 400ms;
constexpr kernel::Duration MinSilence = 100ms;
constexpr int ServerFailure = 500;

kernel::Duration connectTimeout(const RunState &run)
{
    const kernel::Duration wanted = std::clamp<kernel::Duration>(
            run.route.objective / ConnectFraction, MinConnectTimeout, MaxConnectTimeout);
    return std::min<kernel::Duration>(wanted, run.left());
}

// When a server that has sent nothing is first checked: later than it should have answered.
kernel::Duration firstSilenceCheck(const RunState &run, const forward::ListedServer &server)
{
    if (server.engine) {
        return 1ms * (run.call.prompt.tokensIn / SlowPromptTokensPerMs) + PromptMargin;
    }
    return std::max<kernel::Duration>(run.route.objective * 3 / 2, MinSilence);
}

// Counts a stream that goes on by who continues it and whether its server fits the one that began
// it.
void countContinuation(const RunState &run, const forward::ListedServer &server)
{
    const char *version = "unknown";
    if (run.origin) {
        version = run.origin->mayContinueAt(server) ? "same" : "other";
    }
    run.context.counters.add(
            "streams_continued",
            {{"by", run.counts.all() > 0 ? "retry" : "caller"}, {"version", version}});
}

} // namespace

BackendExchange::BackendExchange(RunState &run, ConnectionPool &pool,
                                 std::function<bool()> reserveRepeat)
    : run_(run)
    , pool_(pool)
    , reserveRepeat_(std::move(reserveRepeat))
    , server_(run.choice.server)
    , silenceTimer_(run.context.io)
    , events_(run, forward::StreamOrigin::of(server_))
{
}

void BackendExchange::returnUnused()
{
    if (pooled_) {
        pool_.returnUnused(server_, std::move(*pooled_));
        pooled_.reset();
    } else {
        connection_->close();
    }
    connection_.reset();
}

// The caller may still be reading the answer while another request uses the connection, so an
// interruption of this run must no longer close it.
void BackendExchange::returnConnection(std::optional<kernel::Duration> keptFor)
{
    run_.interrupt->connection.reset();
    if (mayHoldAnswer_) {
        connection_->close();
        return;
    }
    pool_.returnUsed(server_, connection_, keptFor, connection_->rested());
}

asio::awaitable<AttemptEnd> BackendExchange::sendAndForward()
{
    run_.sentAt = run_.context.now();
    run_.repeatUnused = false;
    run_.interrupt->connection = connection_;
    run_.fleetView.servers().begin(server_.id, run_.prompt(), run_.context.now());
    if (run_.repeatable() && run_.route.maxAttempts > run_.runsMade() + 1) {
        armSilenceTimer(firstSilenceCheck(run_, server_));
    }
    auto exchanged = exchange();
    std::function<void()> endSend = [this] {
        silenceTimer_.cancel();
        run_.interrupt->connection.reset();
        run_.fleetView.servers().end(server_.id);
    };
    co_return co_await runAfter(std::move(exchanged), std::move(endSend));
}

void BackendExchange::armSilenceTimer(kernel::Duration after)
{
    silenceTimer_.expires_after(after);
    silenceTimer_.async_wait([this, interrupt = run_.interrupt, connection = connection_,
                              after](boost::system::error_code stopped) {
        // The interrupt and the connection outlive this object.
        if (stopped || interrupt->ended || interrupt->connection != connection) {
            return;
        }
        if (!run_.fleetView.servers().silent(server_.id, run_.context.now())) {
            armSilenceTimer(std::min(after, SilenceCheckInterval));
        } else if (connection->answerWaits()) {
            // The server has answered; this process stalled or the caller is slow.
            run_.context.counters.add("late_looks", {{"wait", "silence"}});
            armSilenceTimer(std::min(after, SilenceCheckInterval));
        } else {
            interruptAfterLoopTurn(after);
        }
    });
}

// The handler of data already read may be queued behind the silence timer, so it runs first.
void BackendExchange::interruptAfterLoopTurn(kernel::Duration after)
{
    asio::post(run_.context.io, [this, interrupt = run_.interrupt, connection = connection_, after,
                                 taken = connection_->taken()] {
        // The interrupt and the connection outlive this object.
        if (interrupt->ended || interrupt->connection != connection) {
            return;
        }
        if (connection->taken() != taken || connection->answerWaits()) {
            run_.context.counters.add("late_looks", {{"wait", "silence"}});
            armSilenceTimer(std::min(after, SilenceCheckInterval));
        } else if (!reserveRepeat_()) {
            waitInSilence();
            armSilenceTimer(std::min(after, SilenceCheckInterval));
        } else {
            interrupt->end(Interruption::Silent);
        }
    });
}

// The server may only be slow, and its answer may still come before the deadline.
void BackendExchange::waitInSilence()
{
    if (!waitsInSilence_) {
        waitsInSilence_ = true;
        run_.context.counters.add("silent_attempts_kept");
    }
}

AttemptEnd BackendExchange::fail(Failure failure, const std::string &message, bool sent)
{
    run_.lastMessage = message;
    run_.failure = failure;
    const Interruption reason = run_.interrupt->reason;
    if (reason == Interruption::None || reason == Interruption::Silent) {
        const Failure seen = reason == Interruption::Silent ? Failure::Silent : failure;
        run_.fleetView.servers().noteFailure(server_.id, seen, run_.context.now());
        const bool answered = run_.headAt || seen == Failure::Full;
        if (!answered) {
            run_.fleetView.reach().noteUnreached(run_.service, server_.hash(), run_.context.now());
        }
        if (seen == Failure::Full && run_.context.settings.gateway.admission) {
            run_.fleetView.shortServices().noteShort(run_.service, run_.context.now());
        }
        run_.context.counters.add("attempt_failures", {{"reason", text(seen)}});
        logFailure(run_, seen, message, sent);
    }
    return sent ? AttemptEnd::MayHaveRun : AttemptEnd::Unsent;
}

http::KeptConnection::Hold BackendExchange::holdAnswer()
{
    return [this](std::size_t bytes) { return run_.holdAnswer(bytes); };
}

AttemptEnd BackendExchange::failReading(const char *what, const http::CallFailure &failure,
                                        bool sent)
{
    run_.noteTooLong(failure.passed);
    return fail(Failure::Lost, what + failure.message, sent);
}

// Whatever has spoilt the head may have spoilt the rest, too.
AttemptEnd BackendExchange::failUnsigned()
{
    connection_->close();
    run_.context.counters.add("unsigned_answers", {{"from", "server"}});
    return fail(Failure::Error, UnsignedAnswer, true);
}

asio::awaitable<bool> BackendExchange::connect()
{
    run_.fleetView.servers().noteAttempt(server_.id, run_.context.now());
    // Opening a new connection shows that the server is reachable before anything is sent.
    if (!run_.choice.trial) {
        pooled_ = pool_.take(server_, !run_.repeatable());
    }
    if (pooled_) {
        connection_ = pooled_->connection;
        co_return true;
    }
    run_.context.counters.add("backend_connections");
    auto connected = co_await http::KeptConnection::connect(run_.context.io, server_.address,
                                                            connectTimeout(run_));
    if (!connected) {
        const bool refused = !connected.error().timedOut;
        fail(refused ? Failure::Unreachable : Failure::NoResponse,
             "connect: " + connected.error().message, false);
        co_return false;
    }
    connection_ = *connected;
    if (connection_->connectedLate()) {
        run_.context.counters.add("late_looks", {{"wait", "connect"}});
    }
    co_return true;
}

asio::awaitable<tl::expected<http::AnswerStart, http::CallFailure>> BackendExchange::readOwnHead()
{
    // A late answer to an earlier request may arrive instead of this request's answer.
    int interimHeads = 0;
    for (int foreign = 0;; ++foreign) {
        auto start = co_await connection_->readHead();
        if (!start) {
            co_return tl::unexpected(start.error());
        }
        const AnswerHead head =
                run_.fleetView.adapter().dialect.readHead(start->status, start->fields);
        noteServerReports(head);
        const bool interim = start->status / 100 == 1 && start->status != SwitchingProtocols;
        if (interim && ++interimHeads <= MaxInterimHeads) {
            auto empty = co_await connection_->readAll(0, holdAnswer());
            if (!empty) {
                co_return tl::unexpected(empty.error());
            }
            --foreign;
            continue;
        }
        const bool carriedAnother = pooled_ || foreign > 0;
        if (isOwn(head, carriedAnother)) {
            co_return start;
        }
        run_.context.counters.add("foreign_answers");
        if (foreign == MaxForeignAnswers) {
            co_return tl::unexpected(http::CallFailure{outcome::FailurePoint::AnswerForeign, false,
                                                       "answers of other requests came"});
        }
        auto body = co_await connection_->readAll(http::MaxBodyBytes, holdAnswer());
        if (!body) {
            co_return tl::unexpected(body.error());
        }
    }
}

// A rejection that names no request may be of an earlier one wherever the connection has carried
// another answer. Taken for this request's, it costs one that may be repeated nothing but the rest
// of the connection; one that may run once could run twice.
bool BackendExchange::isOwn(const AnswerHead &head, bool carriedAnother)
{
    if (head.id == run_.call.id) {
        return true;
    }
    const bool unnamedRejection = head.id.empty() && head.notRun;
    if (!unnamedRejection) {
        return false;
    }
    run_.context.counters.add("rejections_unnamed",
                              {{"connection", carriedAnother ? "used" : "new"}});
    mayHoldAnswer_ = carriedAnother;
    return !carriedAnother || run_.repeatable();
}

// Applies what the server reports about itself, whichever request the answer belongs to. If another
// server now has its address, the report isn't about the listed server and is ignored.
void BackendExchange::noteServerReports(const AnswerHead &head)
{
    if (head.wrongInstance) {
        return;
    }
    if (head.leaving && run_.fleetView.servers().noteLeaving(server_, run_.context.now())) {
        run_.context.counters.add("servers_said_leaving");
        logLeaving(run_);
    }
    if (head.backoffUnreadable) {
        run_.context.counters.add("rests_unreadable");
        logBackoffUnreadable(run_);
    }
    if (head.backoffFor && *head.backoffFor > kernel::Duration(0)) {
        run_.context.counters.add("rests_asked");
        run_.fleetView.servers().noteBackoff(server_, *head.backoffFor, run_.context.now());
        logBackoffRequested(run_, *head.backoffFor);
    }
}

asio::awaitable<AttemptEnd> BackendExchange::exchange()
{
    forward::SendContext order;
    order.server = server_;
    order.left = run_.left();
    order.organisation = run_.organisation;
    order.priority = run_.priority;
    order.takeFrom = run_.choice.takeFrom;
    order.resumeAfter = run_.lastEvent;
    http::Request passed = run_.fleetView.adapter().dialect.writeRequest(run_.request, order);
    if (run_.fleetView.servers().backoffLeft(server_.id, run_.context.now())
        > kernel::Duration(0)) {
        run_.context.counters.add("sends_into_rest");
    }
    if (run_.route.stream && run_.lastEvent) {
        countContinuation(run_, server_);
    }
    run_.context.counters.add("sends", {{"place", std::string(text(run_.basis.said))}});
    logSend(run_);
    const kernel::Instant sentAt = run_.context.now();
    connection_->send(std::move(passed));
    auto start = co_await readOwnHead();
    if (!start) {
        connection_->close();
        const bool sent = start.error().point != outcome::FailurePoint::ConnectedUnsent;
        if (pooled_ && sent && run_.interrupt->reason != Interruption::CallerLeft) {
            pool_.closeIdleBefore(server_.id, sentAt);
        }
        co_return failReading("answer: ", start.error(), sent);
    }
    const kernel::Instant now = run_.context.now();
    run_.headAt = now;
    AnswerHead head = run_.fleetView.adapter().dialect.readHead(start->status, start->fields);
    run_.fleetView.servers().noteHeard(server_.id, now);
    run_.fleetView.reach().noteReached(run_.service);
    if (head.loadUnreadable) {
        run_.context.counters.add("loads_unreadable");
    }
    run_.toldLoad = head.load;
    if (head.load) {
        run_.fleetView.servers().noteLoad(server_.id, *head.load, now);
    }
    run_.fleetView.coldStarts().noteReported(server_.hash(), head.coldFor, now);
    http::AnswerStart first = std::move(*start);
    if (lacksSignature(head)) {
        co_return failUnsigned();
    }
    const bool good = head.status / 100 == 2;
    if (run_.route.stream && good && !head.notRun) {
        co_return co_await forwardStream(std::move(first), std::move(head));
    }
    co_return co_await forwardWhole(std::move(first), std::move(head));
}

// The time that the route's objective is about: to the first piece of a stream, or else to the end
// of the answer.
void BackendExchange::noteAnswerTime()
{
    const kernel::Instant now = run_.context.now();
    const kernel::Duration taken = now - run_.sentAt.value_or(now);
    run_.fleetView.answerTimes().note(run_.service, taken);
    if (!server_.engine) {
        run_.fleetView.servers().noteAnswerTime(server_.id, taken, now);
    }
}

void BackendExchange::noteBodyEnd(http::BodyEnd end)
{
    run_.bodyEnd = end;
    run_.context.counters.add("answer_ends", {{"by", std::string(text(end))}});
}

asio::awaitable<AttemptEnd> BackendExchange::forwardWhole(http::AnswerStart start, AnswerHead head)
{
    auto body = co_await connection_->readAll(http::MaxBodyBytes, holdAnswer());
    if (!body) {
        connection_->close();
        run_.noteTooLong(body.error().passed);
        if (head.notRun && !run_.stopped()) {
            fail(Failure::Full, "rejected, then cut", true);
            co_return AttemptEnd::Rejected;
        }
        co_return fail(Failure::Lost, "body: " + body.error().message, true);
    }
    returnConnection(head.keptFor);
    if (head.notRun) {
        const Failure failure = head.wrongInstance ? Failure::Unreachable : Failure::Full;
        fail(failure, "rejected with " + std::to_string(head.status), true);
        co_return AttemptEnd::Rejected;
    }
    noteBodyEnd(body->end);
    http::Fields fields = serverFields(run_, start.fields);
    http::Answer answer(start.status, std::move(fields), std::move(body->bytes));
    answer.endMarked = isMarked(body->end);
    run_.answeredWhole = true;
    run_.answeredFailure = head.status / 100 != 2;
    if (head.status >= ServerFailure) {
        fail(Failure::Error, "failed with " + std::to_string(head.status), true);
        run_.failedAnswer = std::move(answer);
        co_return AttemptEnd::MayHaveRun;
    }
    const Completeness completeness = co_await judge({.end = body->end});
    if (completeness == Completeness::BrokenOff) {
        run_.answeredWhole = false;
        co_return fail(Failure::Lost, "body: it ended as its server stopped listening", true);
    }
    run_.fleetView.servers().noteSuccess(server_.id, run_.context.now());
    noteAnswerTime();
    if (run_.reply.begun()) {
        co_return AttemptEnd::MayHaveRun;
    }
    if (!run_.repeatable() && promisesNotRun(head.status)) {
        co_return AttemptEnd::MayHaveRun;
    }
    run_.context.counters.add("results", {{"kind", "passed"}, {"code", "ok"}});
    logEnd(run_, "ok");
    co_await run_.reply.send(std::move(answer));
    co_return AttemptEnd::Answered;
}

asio::awaitable<AttemptEnd> BackendExchange::forwardStream(http::AnswerStart start, AnswerHead head)
{
    while (true) {
        auto part = co_await connection_->readPart();
        if (!part) {
            connection_->close();
            co_return failReading("stream: ", part.error(), true);
        }
        run_.fleetView.servers().noteHeard(server_.id, run_.context.now());
        if (!run_.firstPiece) {
            noteAnswerTime();
        }
        run_.notePiece();
        if (part->end) {
            co_return co_await endStream(std::move(start), std::move(head), *part->end);
        }
        const bool passed = co_await events_.forward(start, part->bytes);
        if (!passed) {
            co_return endForCallerThatLeft();
        }
        if (const auto tooLong = events_.tooLong(start)) {
            connection_->close();
            co_return failReading("stream: ", *tooLong, true);
        }
    }
}

asio::awaitable<AttemptEnd> BackendExchange::endStream(http::AnswerStart start, AnswerHead head,
                                                       http::BodyEnd end)
{
    noteBodyEnd(end);
    forward::AnswerEnding ending;
    ending.end = end;
    ending.eventStream = isEventStream(start.fields);
    ending.insideEvent = events_.insideEvent();
    ending.anyEvent = events_.anyEvent();
    if (co_await judge(ending) == Completeness::BrokenOff) {
        connection_->close();
        co_return fail(Failure::Lost, "stream: it ended before it was complete", true);
    }
    const bool passed = co_await events_.forwardRest(start);
    if (!passed) {
        co_return endForCallerThatLeft();
    }
    returnConnection(head.keptFor);
    run_.answeredWhole = true;
    run_.fleetView.servers().noteSuccess(server_.id, run_.context.now());
    run_.context.counters.add("results", {{"kind", "stream"}, {"code", "ok"}});
    logEnd(run_, "ok");
    co_await run_.reply.finish();
    co_return AttemptEnd::Answered;
}

AttemptEnd BackendExchange::endForCallerThatLeft()
{
    connection_->close();
    run_.context.counters.add("results", {{"kind", "stream"}, {"code", "caller-left"}});
    logEnd(run_, "caller-left");
    return AttemptEnd::Answered;
}

// Nothing but its server's state tells a part of an answer without a marked end from a whole one.
asio::awaitable<Completeness> BackendExchange::judge(forward::AnswerEnding ending)
{
    if (needsServerState(ending)) {
        auto &crashes = run_.context.kernel.find<services::CrashService>("crashes");
        ending.serverGone =
                co_await crashes.detector().isAboutToCrash(server_.hash(), server_.address);
    }
    const Completeness found = completenessOf(ending);
    run_.context.counters.add("answers_judged", {{"as", text(found)}});
    co_return found;
}

} // namespace limereel::gateway
