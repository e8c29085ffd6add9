#include "gateway/DetourAttempt.h"

#include "gateway/RunAfter.h"
#include "gateway/RunLog.h"
#include "outcome/ResultCode.h"

#include <boost/asio.hpp>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

// Boxes are a few round trips apart; one that doesn't answer by then is passed over.
constexpr kernel::Duration ConnectTimeout = 50ms;

constexpr int ServerFailure = 500;

bool isClientError(int status)
{
    return status / 100 == 4;
}

} // namespace

DetourAttempt::DetourAttempt(RunState &run, DetourService &detours, DetourBox box)
    : run_(run)
    , detours_(detours)
    , box_(std::move(box))
    , events_(run, {})
{
}

AttemptEnd DetourAttempt::fail(AttemptEnd end, const std::string &why)
{
    const bool ranThere = end == AttemptEnd::MayHaveRun && run_.sendsThere;
    if (!run_.stopped() && !ranThere) {
        detours_.table().noteFailed(box_.box, run_.context.now());
    }
    const char *result = end == AttemptEnd::Unsent     ? "unsent"
                         : end == AttemptEnd::Rejected ? "refused"
                                                       : "lost";
    return note(end, result, why);
}

// One of the two boxes learns of the newer version in a moment, or is cut off.
AttemptEnd DetourAttempt::failForOtherConfiguration()
{
    detours_.table().noteOtherConfiguration(box_.box, run_.context.now());
    return note(AttemptEnd::Rejected, "other-configuration", "it has another configuration");
}

AttemptEnd DetourAttempt::note(AttemptEnd end, const char *result, const std::string &why)
{
    run_.lastMessage = "through another box: " + why;
    run_.context.counters.add("detours", {{"result", result}});
    logDetourFailure(run_, box_.name, result, why);
    return end;
}

asio::awaitable<bool> DetourAttempt::connect()
{
    if (auto pooled = detours_.pool().take(box_.endpoint, !run_.repeatable())) {
        connection_ = pooled->connection;
        co_return true;
    }
    auto connected = co_await http::KeptConnection::connect(
            run_.context.io, box_.endpoint.address,
            std::min<kernel::Duration>(ConnectTimeout, run_.left()));
    if (!connected) {
        fail(AttemptEnd::Unsent, "connect: " + connected.error().message);
        co_return false;
    }
    connection_ = *connected;
    co_return true;
}

asio::awaitable<AttemptEnd> DetourAttempt::run()
{
    detours_.table().begin(box_.box);
    auto attempted = attempt();
    std::function<void()> endDetour = [this] {
        run_.interrupt->connection.reset();
        detours_.table().end(box_.box);
    };
    co_return co_await runAfter(std::move(attempted), std::move(endDetour));
}

asio::awaitable<AttemptEnd> DetourAttempt::attempt()
{
    const bool connected = co_await connect();
    if (!connected) {
        co_return AttemptEnd::Unsent;
    }
    if (run_.stopped()) {
        connection_->close();
        co_return AttemptEnd::Unsent;
    }
    run_.interrupt->connection = connection_;
    co_return co_await exchange();
}

asio::awaitable<AttemptEnd> DetourAttempt::exchange()
{
    peer::DetourRequest detour;
    detour.from = run_.context.settings.box.text();
    detour.leftMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, run_.left() / 1ms));
    detour.resumeAfter = run_.lastEvent;
    detour.origin = run_.origin;
    detour.request = run_.request;
    detour.configVersion = run_.configVersion;
    const double repeatsLeft = run_.fleetView.budget().left(run_.service, run_.context.now());
    detour.made = peer::SendsMade{.runs = run_.counts.sends,
                                  .rejections = run_.counts.rejected,
                                  .unusedRepeats = repeatsLeft >= 1 ? 1U : 0U,
                                  .lastServer = run_.lastRunAt};
    logDetour(run_, box_.name);
    run_.through = box_.name;
    run_.sentAt = run_.context.now();
    connection_->send(detours_.seal(box_, detour));
    auto start = co_await connection_->readHead();
    if (!start) {
        connection_->close();
        run_.noteTooLong(start.error().passed);
        const bool sent = start.error().point != outcome::FailurePoint::ConnectedUnsent;
        co_return fail(sent ? AttemptEnd::MayHaveRun : AttemptEnd::Unsent,
                       "answer: " + start.error().message);
    }
    run_.headAt = run_.context.now();
    run_.sendsThere = peer::sendsMadeFrom(start->fields.get(DetourSends));
    const forward::AnswerHead head =
            run_.fleetView.adapter().dialect.readHead(start->status, start->fields);
    const bool ofServer = start->fields.get(DetourRefused).empty() && head.id == run_.call.id;
    if (!ofServer) {
        co_return co_await takeRefusal(*start);
    }
    // A box of an earlier version passes it on.
    if (lacksSignature(head)) {
        connection_->close();
        run_.context.counters.add("unsigned_answers", {{"from", "box"}});
        co_return fail(AttemptEnd::MayHaveRun, UnsignedAnswer);
    }
    http::AnswerStart first = std::move(*start);
    const auto writer = forward::streamOriginFrom(first.fields.get(DetourOrigin));
    first.fields = first.fields.without(DetourOrigin).without(DetourSends);
    if (run_.route.stream && first.status / 100 == 2) {
        if (run_.origin && !(writer && writer->agreesWith(*run_.origin))) {
            connection_->close();
            co_return fail(AttemptEnd::MayHaveRun, "stream: another software version goes on");
        }
        // Unknown if the other box is of an earlier version: nobody may continue the stream then.
        events_.setWriter(writer.value_or(forward::StreamOrigin()));
        co_return co_await forwardStream(std::move(first));
    }
    co_return co_await forwardWhole(std::move(first));
}

// The other box's view may differ from this box's, so what it refuses as wrong isn't passed on.
asio::awaitable<AttemptEnd> DetourAttempt::takeRefusal(const http::AnswerStart &start)
{
    const auto body = co_await connection_->readAll(
            http::MaxBodyBytes, [this](std::size_t bytes) { return run_.holdAnswer(bytes); });
    if (body) {
        returnConnection(start);
    } else {
        connection_->close();
    }
    const auto other = outcome::info(outcome::ResultCode::OtherConfiguration).name;
    if (start.fields.get(DetourRefused) == other) {
        co_return failForOtherConfiguration();
    }
    const bool notRun = promisesNotRun(start.status) || isClientError(start.status);
    co_return fail(notRun ? AttemptEnd::Rejected : AttemptEnd::MayHaveRun,
                   "refused with " + std::to_string(start.status));
}

void DetourAttempt::returnConnection(const http::AnswerStart &start)
{
    run_.interrupt->connection.reset();
    const auto head = run_.fleetView.adapter().dialect.readHead(start.status, start.fields);
    detours_.pool().returnUsed(box_.endpoint, connection_, head.keptFor, connection_->rested());
}

asio::awaitable<AttemptEnd> DetourAttempt::forwardWhole(http::AnswerStart start)
{
    auto body = co_await connection_->readAll(
            http::MaxBodyBytes, [this](std::size_t bytes) { return run_.holdAnswer(bytes); });
    if (!body) {
        connection_->close();
        run_.noteTooLong(body.error().passed);
        co_return fail(AttemptEnd::MayHaveRun, "body: " + body.error().message);
    }
    returnConnection(start);
    detours_.table().noteServed(box_.box);
    run_.context.counters.add("detours", {{"result", "served"}});
    if (run_.reply.begun()) {
        co_return AttemptEnd::MayHaveRun;
    }
    http::Answer answer(start.status, ownEndToEnd(run_, start.fields), std::move(body->bytes));
    answer.endMarked = isMarked(body->end);
    // The other box has left it to this one to repeat the request.
    if (start.status >= ServerFailure && run_.sendsThere) {
        run_.lastMessage = "through another box: failed with " + std::to_string(start.status);
        run_.failedAnswer = std::move(answer);
        co_return AttemptEnd::MayHaveRun;
    }
    run_.answeredWhole = true;
    run_.context.counters.add("results", {{"kind", "passed"}, {"code", "ok"}});
    logEnd(run_, "ok");
    co_await run_.reply.send(std::move(answer));
    co_return AttemptEnd::Answered;
}

asio::awaitable<AttemptEnd> DetourAttempt::forwardStream(http::AnswerStart start)
{
    while (true) {
        auto part = co_await connection_->readPart();
        if (!part) {
            connection_->close();
            run_.noteTooLong(part.error().passed);
            co_return fail(AttemptEnd::MayHaveRun, "stream: " + part.error().message);
        }
        run_.notePiece();
        const bool ended = part->end.has_value();
        // The other box marks the end of each complete stream.
        if (ended && !isMarked(*part->end)) {
            connection_->close();
            co_return fail(AttemptEnd::MayHaveRun, "stream: it ended before it was complete");
        }
        bool passed = false;
        if (ended) {
            passed = co_await events_.forwardRest(start);
        } else {
            passed = co_await events_.forward(start, part->bytes);
        }
        if (!passed) {
            connection_->close();
            run_.context.counters.add("results", {{"kind", "stream"}, {"code", "caller-left"}});
            logEnd(run_, "caller-left");
            co_return AttemptEnd::Answered;
        }
        if (ended) {
            break;
        }
        if (const auto tooLong = events_.tooLong(start)) {
            connection_->close();
            run_.noteTooLong(tooLong->passed);
            co_return fail(AttemptEnd::MayHaveRun, "stream: " + tooLong->message);
        }
    }
    returnConnection(start);
    detours_.table().noteServed(box_.box);
    run_.answeredWhole = true;
    run_.context.counters.add("detours", {{"result", "served"}});
    run_.context.counters.add("results", {{"kind", "stream"}, {"code", "ok"}});
    logEnd(run_, "ok");
    co_await run_.reply.finish();
    co_return AttemptEnd::Answered;
}

} // namespace limereel::gateway
