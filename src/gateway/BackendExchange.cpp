#include "gateway/BackendExchange.h"

#include "gateway/RunLog.h"
#include "http/EndToEnd.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;
using forward::AnswerHead;
using forward::Failure;

namespace {

constexpr std::size_t MostAnswerBytes = std::size_t{16} * 1024 * 1024;
constexpr int MostSurplusAnswers = 3;
// A connection comes about within a few round trips or not in time: this part of the objective.
constexpr int ConnectPart = 4;
constexpr kernel::Duration ShortestConnect = 50ms;
constexpr kernel::Duration LongestConnect = 300ms;
constexpr kernel::Duration SilenceLook = 100ms;
// An engine that reads a prompt is silent; this many tokens a millisecond is slow reading.
constexpr std::int64_t SlowReading = 30;
constexpr kernel::Duration BesideReading = 400ms;
constexpr kernel::Duration LeastSilence = 100ms;
constexpr int ServerFailure = 500;

kernel::Duration connectWait(const RunState &run)
{
    const kernel::Duration wanted = std::clamp<kernel::Duration>(run.route.objective / ConnectPart,
                                                                 ShortestConnect, LongestConnect);
    return std::min<kernel::Duration>(wanted, run.left());
}

// When a server that says nothing is looked at: later than it should have answered.
kernel::Duration firstLook(const RunState &run, const forward::ListedServer &server)
{
    if (server.engine) {
        return 1ms * (run.call.prompt.tokensIn / SlowReading) + BesideReading;
    }
    return std::max<kernel::Duration>(run.route.objective * 3 / 2, LeastSilence);
}

} // namespace

BackendExchange::BackendExchange(RunState &run, ConnectionPool &pool)
    : run_(run)
    , pool_(pool)
    , server_(run.choice.server)
    , silenceTimer_(run.context.io)
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

// The caller may still be taking the answer, while another request uses the connection: what ends
// this run must not close it any more.
void BackendExchange::giveBack(std::optional<kernel::Duration> keptFor)
{
    run_.interrupt->connection.reset();
    pool_.returnUsed(server_, connection_, keptFor, connection_->rested());
}

asio::awaitable<AttemptEnd> BackendExchange::sendAndForward()
{
    run_.interrupt->connection = connection_;
    run_.sentAt = run_.context.now();
    run_.fleetView.servers().begin(server_.id, run_.prompt(), run_.context.now());
    if (run_.repeatable() && run_.route.mostAttempts > run_.counts.sends + 1) {
        armSilence(firstLook(run_, server_));
    }
    const AttemptEnd end = co_await exchange();
    silenceTimer_.cancel();
    run_.interrupt->connection.reset();
    run_.fleetView.servers().end(server_.id);
    co_return end;
}

void BackendExchange::armSilence(kernel::Duration after)
{
    silenceTimer_.expires_after(after);
    silenceTimer_.async_wait([this, interrupt = run_.interrupt, connection = connection_,
                              after](boost::system::error_code stopped) {
        // The interrupt and the connection outlive this object.
        if (stopped || interrupt->ended || interrupt->connection != connection) {
            return;
        }
        if (!run_.fleetView.servers().silent(server_.id, run_.context.now())) {
            armSilence(std::min(after, SilenceLook));
        } else if (connection->answerWaits()) {
            // It has answered; this process stood still or its caller is slow.
            run_.context.counters.add("late_looks", {{"wait", "silence"}});
            armSilence(std::min(after, SilenceLook));
        } else {
            endAfterATurn(after);
        }
    });
}

// What was read may have its handler queued behind the timer of the silence; it goes first.
void BackendExchange::endAfterATurn(kernel::Duration after)
{
    asio::post(run_.context.io, [this, interrupt = run_.interrupt, connection = connection_, after,
                                 taken = connection_->taken()] {
        // The interrupt and the connection outlive this object.
        if (interrupt->ended || interrupt->connection != connection) {
            return;
        }
        if (connection->taken() != taken || connection->answerWaits()) {
            run_.context.counters.add("late_looks", {{"wait", "silence"}});
            armSilence(std::min(after, SilenceLook));
        } else {
            interrupt->end(Interruption::Silent);
        }
    });
}

AttemptEnd BackendExchange::fail(Failure failure, const std::string &message, bool sent)
{
    run_.lastMessage = message;
    run_.failure = failure;
    const Interruption reason = run_.interrupt->reason;
    if (reason == Interruption::None || reason == Interruption::Silent) {
        const Failure seen = reason == Interruption::Silent ? Failure::Silent : failure;
        run_.fleetView.servers().noteFailure(server_.id, seen, run_.context.now());
        run_.context.counters.add("attempt_failures", {{"reason", text(seen)}});
        logFailure(run_, seen, message, sent);
    }
    return sent ? AttemptEnd::MayHaveRun : AttemptEnd::Unsent;
}

asio::awaitable<bool> BackendExchange::connect()
{
    run_.fleetView.servers().noteAttempt(server_.id, run_.context.now());
    // A new connection shows that there is a way before anything is sent.
    if (!run_.choice.trial) {
        pooled_ = pool_.take(server_, !run_.repeatable());
    }
    if (pooled_) {
        connection_ = pooled_->connection;
        co_return true;
    }
    run_.context.counters.add("backend_connections");
    auto connected = co_await http::KeptConnection::connect(run_.context.io, server_.address,
                                                            connectWait(run_));
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
    // An answer to an earlier request may come late, in the place of this one's.
    for (int surplus = 0;; ++surplus) {
        auto start = co_await connection_->readHead();
        if (!start) {
            co_return tl::unexpected(start.error());
        }
        const AnswerHead head =
                run_.fleetView.adapter().dialect.readHead(start->status, start->fields);
        noteWords(head);
        if (head.id == run_.call.id || (head.id.empty() && head.notRun)) {
            co_return start;
        }
        run_.context.counters.add("foreign_answers");
        if (surplus == MostSurplusAnswers) {
            co_return tl::unexpected(http::CallFailure{outcome::Point::AnswerForeign, false,
                                                       "answers of other requests came"});
        }
        auto body = co_await connection_->readAll(MostAnswerBytes);
        if (!body) {
            co_return tl::unexpected(body.error());
        }
    }
}

// Whichever request the answer belongs to: what the server says of itself is meant for this box.
// Another server that has its address now speaks for itself only.
void BackendExchange::noteWords(const AnswerHead &head)
{
    if (head.wrongInstance) {
        return;
    }
    if (head.leaving && run_.fleetView.servers().noteLeaving(server_, run_.context.now())) {
        run_.context.counters.add("servers_said_leaving");
        logLeaving(run_);
    }
    if (head.restUnreadable) {
        run_.context.counters.add("rests_unreadable");
        logRestUnreadable(run_);
    }
    if (head.restFor && *head.restFor > kernel::Duration(0)) {
        run_.context.counters.add("rests_asked");
        run_.fleetView.servers().noteRest(server_, *head.restFor, run_.context.now());
        logBackoffRequested(run_, *head.restFor);
    }
}

asio::awaitable<AttemptEnd> BackendExchange::exchange()
{
    forward::SendOrder order;
    order.server = server_;
    order.left = run_.left();
    order.organisation = run_.organisation;
    order.priority = run_.priority;
    order.takeFrom = run_.choice.takeFrom;
    order.resumeAfter = run_.lastEvent;
    http::Request passed = run_.fleetView.adapter().dialect.writeRequest(run_.request, order);
    passed.fields = http::endToEnd(passed.fields);
    if (run_.fleetView.servers().restLeft(server_.id, run_.context.now()) > kernel::Duration(0)) {
        run_.context.counters.add("sends_into_rest");
    }
    logSend(run_);
    const kernel::Instant sentAt = run_.context.now();
    connection_->send(std::move(passed));
    auto start = co_await readOwnHead();
    if (!start) {
        connection_->close();
        const bool sent = start.error().point != outcome::Point::ConnectedUnsent;
        if (pooled_ && sent && run_.interrupt->reason != Interruption::CallerLeft) {
            pool_.closeIdleBefore(server_.id, sentAt);
        }
        co_return fail(Failure::Lost, "answer: " + start.error().message, sent);
    }
    const kernel::Instant now = run_.context.now();
    AnswerHead head = run_.fleetView.adapter().dialect.readHead(start->status, start->fields);
    run_.fleetView.servers().noteHeard(server_.id, now);
    if (head.loadUnreadable) {
        run_.context.counters.add("loads_unreadable");
    }
    if (head.load) {
        run_.fleetView.servers().noteLoad(server_.id, *head.load, now);
    }
    run_.fleetView.coldStarts().noteTold(server_.hash(), head.coldFor, now);
    http::AnswerStart first = std::move(*start);
    const bool good = head.status / 100 == 2;
    if (run_.route.stream && good && !head.notRun) {
        co_return co_await passStream(std::move(first), std::move(head));
    }
    co_return co_await passWhole(std::move(first), std::move(head));
}

asio::awaitable<AttemptEnd> BackendExchange::passWhole(http::AnswerStart start, AnswerHead head)
{
    auto body = co_await connection_->readAll(MostAnswerBytes);
    if (!body) {
        connection_->close();
        if (head.notRun && !run_.stopped()) {
            fail(Failure::Full, "rejected, then cut", true);
            co_return AttemptEnd::Rejected;
        }
        co_return fail(Failure::Lost, "body: " + body.error().message, true);
    }
    giveBack(head.keptFor);
    if (head.notRun) {
        const Failure failure = head.wrongInstance ? Failure::Unreachable : Failure::Full;
        fail(failure, "rejected with " + std::to_string(head.status), true);
        co_return AttemptEnd::Rejected;
    }
    http::Answer answer(start.status, http::endToEnd(start.fields), std::move(*body));
    run_.answeredWhole = true;
    if (head.status >= ServerFailure) {
        fail(Failure::Error, "failed with " + std::to_string(head.status), true);
        run_.failedAnswer = std::move(answer);
        co_return AttemptEnd::MayHaveRun;
    }
    run_.fleetView.servers().noteSuccess(server_.id, run_.context.now());
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

std::string BackendExchange::newEvents(std::string_view part)
{
    std::string bytes;
    for (forward::RawEvent &event : cutter_.take(part)) {
        // A run that was taken up may repeat what the caller has.
        if (event.id && run_.lastEvent && *event.id <= *run_.lastEvent) {
            continue;
        }
        if (event.id) {
            run_.lastEvent = event.id;
        }
        bytes += event.bytes;
    }
    return bytes;
}

asio::awaitable<bool> BackendExchange::passEvents(const http::AnswerStart &start, std::string bytes)
{
    if (!run_.reply.begun()) {
        http::Fields fields = http::endToEnd(start.fields);
        const bool begun = co_await run_.reply.begin(start.status, std::move(fields));
        if (!begun) {
            co_return false;
        }
    }
    co_return co_await run_.reply.write(bytes);
}

asio::awaitable<AttemptEnd> BackendExchange::passStream(http::AnswerStart start, AnswerHead head)
{
    while (true) {
        auto part = co_await connection_->readPart();
        if (!part) {
            connection_->close();
            co_return fail(Failure::Lost, "stream: " + part.error().message, true);
        }
        run_.fleetView.servers().noteHeard(server_.id, run_.context.now());
        run_.notePiece();
        const bool whole = part->empty();
        std::string bytes = whole ? cutter_.takeRest() : newEvents(*part);
        if (!bytes.empty() || whole) {
            const bool passed = co_await passEvents(start, std::move(bytes));
            if (!passed) {
                connection_->close();
                run_.context.counters.add("results", {{"kind", "stream"}, {"code", "caller-left"}});
                logEnd(run_, "caller-left");
                co_return AttemptEnd::Answered;
            }
        }
        if (whole) {
            break;
        }
    }
    giveBack(head.keptFor);
    run_.answeredWhole = true;
    run_.fleetView.servers().noteSuccess(server_.id, run_.context.now());
    run_.context.counters.add("results", {{"kind", "stream"}, {"code", "ok"}});
    logEnd(run_, "ok");
    co_await run_.reply.finish();
    co_return AttemptEnd::Answered;
}

} // namespace limereel::gateway
