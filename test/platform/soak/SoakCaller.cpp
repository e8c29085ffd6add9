#include "platform/soak/SoakCaller.h"

#include <boost/asio.hpp>

namespace limereel::soak {

namespace asio = boost::asio;

namespace {

/** By what a request ends the servers that begin to run it. */
enum class Crashes : std::uint8_t { Not, ByBody, ByPart };

constexpr kernel::Duration LongestConnect = 500ms;
constexpr kernel::Duration UsualDeadline = 2s;
constexpr kernel::Duration LongStreamDeadline = 6s;
constexpr kernel::Duration Patience = 3s; ///< Beyond the deadline: then the caller ends it.
constexpr std::size_t LeavesOneIn = 20;
constexpr std::size_t CrashesOneIn = 60;
constexpr int MostTakeUps = 3; ///< Of one stream.
constexpr int Good = 200;
constexpr std::size_t LongestStayMs = 40;
constexpr std::size_t LongestPauseMs = 40;
constexpr std::size_t MostBodyBytes = 1 << 20;

kernel::Instant now()
{
    return std::chrono::time_point_cast<kernel::Duration>(std::chrono::steady_clock::now());
}

/** A connection with the process that took it. */
struct Line
{
    http::KeptConnection::Ptr connection;
    std::size_t box = 0;
    int process = 0;
};

/** A stream that its caller holds a part of. */
struct HeldStream
{
    std::string first;  ///< The attempt that brought its first event; empty: it is a new one.
    std::string key;    ///< With which it was asked for.
    std::string events; ///< That the caller has.

    std::size_t count() const
    {
        std::size_t found = 0;
        for (std::size_t at = events.find("\n\n"); at != std::string::npos;
             at = events.find("\n\n", at + 2)) {
            ++found;
        }
        return found;
    }
};

std::string pathOf(Kind kind, int version)
{
    switch (kind) {
    case Kind::Once:
        return "/once/x";
    case Kind::Repeatable:
        return "/again/x";
    case Kind::OnceStream:
        return "/stream/x";
    case Kind::ResumableStream:
        return "/resume/x";
    case Kind::VersionProbe:
        break;
    }
    return "/version-" + std::to_string(version) + "/x";
}

std::string bodyOf(const SoakAttempt &attempt, bool posted)
{
    if (attempt.ends) {
        return CrashingBody;
    }
    const std::string body = attempt.endsByPart ? "the body of " + attempt.id : "the body";
    return posted ? body : "";
}

http::Request requestOf(const SoakAttempt &attempt, const HeldStream &held)
{
    http::Fields fields;
    fields.add("Host", "calls.example");
    fields.add("X-Attempt-Id", attempt.id);
    fields.add("X-Deadline-Ms", std::to_string(attempt.deadline / 1ms));
    if (!attempt.key.empty()) {
        fields.add("X-Api-Key", attempt.key);
    }
    if (!held.first.empty()) {
        fields.add("Resumes", held.first);
        fields.add("Last-Event-Id", std::to_string(held.count()));
    }
    const bool stream = isStream(attempt.kind);
    if (stream) {
        fields.add("X-Model", "m");
        fields.add("X-Token-Count", "300,20");
        // The last part is the request's own, so that no two with the crashing part are alike.
        const std::string part = CrashingPart;
        fields.add("X-Prompt-Prefix", attempt.endsByPart
                                              ? "aa:100," + part + ":100," + attempt.id + ":100"
                                              : "aa:100,bb:100,cc:100");
    }
    const bool posted = stream || attempt.kind == Kind::Once;
    return {posted ? "POST" : "GET", pathOf(attempt.kind, attempt.version), fields,
            bodyOf(attempt, posted)};
}

SoakAttempt attemptOf(CallerWorld &shared, const Line &line, Kind kind, Crashes crashes)
{
    SoakAttempt attempt;
    attempt.ends = crashes == Crashes::ByBody;
    attempt.endsByPart = crashes == Crashes::ByPart;
    attempt.id = "a" + std::to_string(++shared.nextId);
    const bool isLong = shared.world.plan().longStreams && isStream(kind);
    attempt.deadline = isLong ? LongStreamDeadline : UsualDeadline;
    attempt.kind = kind;
    attempt.box = line.box;
    attempt.process = line.process;
    const int version = shared.world.version();
    if (kind == Kind::VersionProbe) {
        const int back = static_cast<int>(shared.random() % 3);
        attempt.version = std::max(1, version - back);
    } else {
        attempt.key = shared.random() % 2 == 0 ? "key-one" : shared.world.changingKey();
    }
    // A rush is of the first organisation: it sends about eleven times as much as the second then.
    const std::size_t twoOneIn = shared.world.rush ? 12 : 2;
    const bool ofTwo = shared.world.plan().scarce && shared.random() % twoOneIn == 0;
    if (ofTwo && !attempt.key.empty()) {
        attempt.key = KeyTwo;
    }
    attempt.sent = now();
    return attempt;
}

asio::awaitable<SoakAnswer> readAnswer(http::KeptConnection::Ptr connection)
{
    SoakAnswer answer;
    auto head = co_await connection->readHead();
    if (!head) {
        co_return answer;
    }
    answer.status = head->status;
    answer.stamp = std::string(head->fields.get("X-Response-Stamp"));
    answer.retryAfter = std::string(head->fields.get("Retry-After"));
    while (answer.body.size() < MostBodyBytes) {
        auto part = co_await connection->readPart();
        if (!part) {
            co_return answer;
        }
        if (part->end) {
            answer.whole = true;
            co_return answer;
        }
        answer.body += part->bytes;
    }
    co_return answer;
}

// \\return the status; 0 if there was no whole answer or the caller left. What it has of a stream
// is added to \a held.
asio::awaitable<int> exchange(CallerWorld &shared, Line line, Kind kind, bool leaves,
                              Crashes crashes, HeldStream &held)
{
    SoakAttempt attempt = attemptOf(shared, line, kind, crashes);
    if (!held.first.empty()) {
        attempt.key = held.key;
    }
    shared.judge.noteAttempt(attempt);
    asio::steady_timer timer(shared.io);
    const auto stay = 1ms * static_cast<std::int64_t>(shared.random() % LongestStayMs);
    timer.expires_after(leaves ? kernel::Duration(stay) : Patience + attempt.deadline);
    bool ended = false;
    timer.async_wait([connection = line.connection, &ended](boost::system::error_code stopped) {
        if (!stopped) {
            ended = true;
            connection->close();
        }
    });
    http::Request request = requestOf(attempt, held);
    line.connection->send(std::move(request));
    SoakAnswer answer = co_await readAnswer(line.connection);
    timer.cancel();
    answer.at = now();
    if (answer.status == Good && kind == Kind::ResumableStream) {
        answer.body = held.events + answer.body;
        held.first = held.first.empty() && held.events.empty() ? attempt.id : held.first;
        held.key = attempt.key;
        held.events = answer.body;
    }
    if (ended && leaves) {
        co_return 0;
    }
    answer.overdue = ended;
    shared.world.collect(shared.judge, answer.at);
    shared.judge.noteAnswer(attempt.id, answer);
    co_return answer.whole ? answer.status : 0;
}

asio::awaitable<Line> connectTo(CallerWorld &shared, std::size_t box)
{
    Line line;
    line.box = box;
    line.process = shared.fleet.boxes()[box].processes;
    kernel::Endpoint where = shared.fleet.boxes()[box].caller;
    auto connected = co_await http::KeptConnection::connect(shared.io, where, LongestConnect);
    if (connected) {
        line.connection = *connected;
    }
    co_return line;
}

// Asks any boxes for the rest of a stream of which the caller holds some events.
asio::awaitable<void> takeUp(CallerWorld &shared, HeldStream held)
{
    for (int tries = 0; tries < MostTakeUps; ++tries) {
        Line line = co_await connectTo(shared, shared.random() % shared.fleet.boxes().size());
        if (!line.connection) {
            continue;
        }
        const std::size_t before = held.events.size();
        ++shared.takeUps;
        const int status =
                co_await exchange(shared, line, Kind::ResumableStream, false, Crashes::Not, held);
        const bool wentOn = status == Good || held.events.size() > before;
        shared.takenUp += wentOn ? 1 : 0;
        if (status == Good) {
            co_return;
        }
    }
}

Kind anyKind(CallerWorld &shared)
{
    return static_cast<Kind>(shared.random() % (static_cast<std::size_t>(Kind::VersionProbe) + 1));
}

Crashes drawCrashes(CallerWorld &shared)
{
    if (shared.world.plan().crashing && shared.random() % CrashesOneIn == 0) {
        return Crashes::ByBody;
    }
    const bool byPart = shared.world.plan().crashingParts && shared.random() % CrashesOneIn == 0;
    return byPart ? Crashes::ByPart : Crashes::Not;
}

Kind crashingKind(CallerWorld &shared)
{
    return shared.random() % 2 == 0 ? Kind::OnceStream : Kind::ResumableStream;
}

} // namespace

namespace {

asio::awaitable<void> callWhile(CallerWorld &shared, bool onlyInRushes)
{
    ++shared.running;
    asio::steady_timer timer(shared.io);
    Line line;
    while (!shared.over) {
        timer.expires_after(1ms * static_cast<std::int64_t>(1 + shared.random() % LongestPauseMs));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (onlyInRushes && !shared.world.rush) {
            line.connection.reset();
            continue;
        }
        const bool keeps = line.connection && line.connection->reusable()
                           && line.connection->quiet() && shared.random() % 3 != 0;
        if (!keeps) {
            line = co_await connectTo(shared, shared.random() % shared.fleet.boxes().size());
        }
        if (!line.connection) {
            continue;
        }
        const Crashes crashes = drawCrashes(shared);
        const Kind kind = crashes == Crashes::Not ? anyKind(shared) : crashingKind(shared);
        const bool leaves = shared.random() % LeavesOneIn == 0;
        HeldStream held;
        const int status = co_await exchange(shared, line, kind, leaves, crashes, held);
        if (status == 0) {
            line.connection.reset();
        }
        if (status == 0 && shared.world.plan().versions && held.count() > 0) {
            co_await takeUp(shared, std::move(held));
        }
    }
    --shared.running;
}

} // namespace

asio::awaitable<void> callOnAndOn(CallerWorld &shared)
{
    return callWhile(shared, false);
}

asio::awaitable<void> callInRushes(CallerWorld &shared)
{
    return callWhile(shared, true);
}

asio::awaitable<int> callOnce(CallerWorld &shared, std::size_t box, Kind kind)
{
    Line line = co_await connectTo(shared, box);
    if (!line.connection) {
        co_return 0;
    }
    HeldStream none;
    const int status = co_await exchange(shared, line, kind, false, Crashes::Not, none);
    co_return status;
}

asio::awaitable<bool> askReady(CallerWorld &shared, std::size_t box)
{
    kernel::Endpoint where = shared.fleet.boxes()[box].ready;
    auto connected = co_await http::KeptConnection::connect(shared.io, where, LongestConnect);
    if (!connected) {
        co_return false;
    }
    http::Request question("GET", "/v1/readiness", http::Fields().with("Host", "box"));
    (*connected)->send(std::move(question));
    auto head = co_await (*connected)->readHead();
    co_return head && head->status == 200;
}

} // namespace limereel::soak
