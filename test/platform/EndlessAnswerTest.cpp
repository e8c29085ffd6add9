// Servers whose bytes are no answer and have no end: whatever part of an answer it is, however fast
// they come and whatever kind of request they answer, the caller gets a truthful word in time, the
// connection is closed and little is held.

#include "gateway/FeedConnection.h"
#include "gateway/FleetView.h"
#include "platform/EndlessServer.h"
#include "platform/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

namespace asio = boost::asio;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
// What the system holds of a connection beside what the box has read.
constexpr std::size_t SocketBytes = 8 * MiB;
constexpr std::size_t HeadBytes = 64 * KiB;
constexpr std::size_t FramingBytes = 16 * KiB;
constexpr std::size_t EventBytes = MiB;
constexpr std::size_t BodyBytes = 16 * MiB;

const std::string StatusLine =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: i-endless.1\r\n";
const std::string Events = StatusLine + "Content-Type: text/event-stream\r\n";
const std::string Text = StatusLine + "Content-Type: text/plain\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'y') << "\r\n";
    return text.str();
}

/** Where an answer doesn't end. */
struct Endless
{
    const char *name;
    std::string begin;
    std::string unit;
    std::size_t bound;       ///< Of the bytes held, on a plain route.
    std::size_t streamBound; ///< The same on a stream's.
    const char *passed;      ///< The name of the bound, plain.
    const char *streamPassed;
};

Endless framing(const char *name, std::string begin, std::string unit)
{
    return {name,         std::move(begin), std::move(unit), FramingBytes,
            FramingBytes, "framing",        "framing"};
}

Endless head(const char *name, std::string begin, std::string unit)
{
    return {name, std::move(begin), std::move(unit), HeadBytes, HeadBytes, "head", "head"};
}

Endless body(const char *name, std::string begin, std::string unit)
{
    return {name, std::move(begin), std::move(unit), BodyBytes, BodyBytes, "body", "body"};
}

Endless event(const char *name, std::string begin, std::string unit)
{
    return {name, std::move(begin), std::move(unit), BodyBytes, EventBytes, "body", "event"};
}

const std::vector<Endless> All = {
        head("status line", "HTTP/1.1 200 ", "x"),
        head("one field", StatusLine + "X-Long: ", "x"),
        head("fields", StatusLine, "X-More: " + std::string(4 * KiB, 'x') + "\r\n"),
        framing("chunk size", Text + Chunked, "0"),
        framing("chunk extension", Text + Chunked + "5;", "a"),
        framing("a trailer", Text + Chunked + "0\r\nX-Long: ", "x"),
        framing("trailers", Text + Chunked + "0\r\n", "X-More: y\r\n"),
        body("body by length", Text + "Content-Length: 100000000\r\n\r\n", std::string(KiB, 'y')),
        body("body by chunks", Text + Chunked, chunk(KiB)),
        body("body by the end", Text + "\r\n", std::string(KiB, 'y')),
        event("event by chunks", Events + Chunked + "7\r\ndata: x\r\n", chunk(KiB)),
        event("event by the end", Events + "\r\ndata: ", std::string(KiB, 'x')),
        event("comment", Events + "\r\n: ", std::string(KiB, 'x')),
        event("comment lines", Events + "\r\n", ": " + std::string(KiB, 'x') + "\n")};

/** A kind of request. */
struct Kind
{
    const char *target;
    bool stream;
};

const std::vector<Kind> Kinds = {
        {"/once/x", false}, {"/again/x", false}, {"/stream/x", true}, {"/resume/x", true}};

/** A gateway before a server without an end. */
struct EndlessFixture : GatewayFixture
{
    EndlessFixture()
        : server(io_)
    {
    }

    void startWith(EndlessAnswer answer)
    {
        server.answer = std::move(answer);
        putConfiguration(configuration(1));
        nlohmann::json entry = entryOf(runner(0), "pool");
        entry["address"] = kernel::text(server.where());
        store().put("servers", "i-endless", entry);
        start();
        until([this] { return ready(); }, "readiness");
    }

    GatewayAnswer callWithin(const Kind &kind, const std::string &milliseconds)
    {
        return call(
                request("POST", kind.target, http::Fields().with("X-Deadline-Ms", milliseconds)));
    }

    /** Runs \a asked, a coroutine that returns a value, to its end. */
    template <typename Result>
    Result ended(asio::awaitable<Result> asked)
    {
        std::optional<Result> result;
        asio::co_spawn(io_, std::move(asked), [&](const std::exception_ptr &fault, Result got) {
            BOOST_TEST(!fault);
            result.emplace(std::move(got));
        });
        until([&] { return result.has_value(); }, "the end of the call");
        return std::move(*result);
    }

    std::uint64_t passed(const char *bound)
    {
        return context().counters.value("answers_too_long", {{"bound", bound}});
    }

    std::uint64_t lost()
    {
        return context().counters.value("attempt_failures", {{"reason", "lost"}});
    }

    EndlessServer server;
};

std::string describe(const Endless &endless, const Kind &kind)
{
    return std::string(endless.name) + " at " + kind.target;
}

void checkFast(const Endless &endless, const Kind &kind, EndlessPace pace)
{
    EndlessFixture fixture;
    fixture.startWith({endless.begin, endless.unit, pace});
    const GatewayAnswer answer = fixture.callWithin(kind, "15000");
    const std::string what = describe(endless, kind);
    const std::size_t bound = kind.stream ? endless.streamBound : endless.bound;
    const std::size_t written = fixture.server.mostWritten();
    BOOST_TEST(answer.status == 502, what << ": answered " << answer.status);
    BOOST_TEST(written <= bound + SocketBytes, what << ": took " << written << " bytes");
    BOOST_TEST(fixture.passed(kind.stream ? endless.streamPassed : endless.passed) > 0U,
               what << ": the bound isn't named");
    BOOST_TEST(fixture.lost() > 0U, what << ": not the server's failure");
    fixture.until([&] { return fixture.server.open() == 0; }, what + ": the connection's end");
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessAnswerTest)

// Guards against a request whose answer gave way once, and that takes no other server's answer.
BOOST_AUTO_TEST_CASE(answerGaveWay_anotherServerAnswers_requestIsServed)
{
    constexpr std::size_t Room = 8 * MiB;
    constexpr std::size_t Held = 5 * MiB;
    constexpr std::size_t Wanted = 4 * MiB;
    EndlessFixture fixture;
    fixture.startWith({Text + "Content-Length: 100000000\r\n\r\n", std::string(64 * KiB, 'y'),
                       EndlessPace::Aligned});
    const auto budget = std::make_shared<http::ByteBudget>(Room, http::GivesWay::Largest);
    fixture.context().answerBytes = budget;
    fixture.list(fixture.runner(0), "pool");
    auto &servers = fixture.context().kernel.find<gateway::FleetView>("world").servers();
    fixture.until([&] { return servers.find("i-one").has_value(); }, "the second server");
    std::shared_ptr<PendingCall> pending;
    for (int number = 0; fixture.server.requests() == 0; ++number) {
        const http::Fields id = http::Fields().with("X-Attempt-Id", "a" + std::to_string(number));
        pending = fixture.begin(GatewayFixture::request("POST", "/again/x", id));
        fixture.until([&] { return pending->done || fixture.server.requests() > 0; }, "a server");
    }
    fixture.until([&] { return budget->held() > Held; }, "much of an answer without an end");
    http::ByteBudget::Share other(budget, [] {});
    BOOST_TEST(other.resize(Wanted));
    const GatewayAnswer answer = fixture.finish(pending);
    BOOST_TEST(budget->gaveWay() == 1U);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.whole);
}

// Guards against a server that fills the box's memory with an answer that never ends.
BOOST_AUTO_TEST_CASE(answer_hasNoEndAndComesFast_endsAtItsBoundAsTheServersFailure)
{
    for (const Endless &endless : All) {
        for (const Kind &kind : Kinds) {
            checkFast(endless, kind, EndlessPace::Fast);
        }
    }
}

// Guards against a head without an end whose fields are read one by one, so that none of the reads
// has much to judge by.
BOOST_AUTO_TEST_CASE(fields_comeOneByOneWithoutEnd_endAtTheHeadsBound)
{
    const Endless fields =
            head("fields one by one", StatusLine, "X-More: " + std::string(KiB, 'x') + "\r\n");
    for (const Kind &kind : Kinds) {
        checkFast(fields, kind, EndlessPace::Aligned);
    }
}

// Guards against an answer that comes byte by byte for ever and holds its caller.
BOOST_AUTO_TEST_CASE(answer_hasNoEndAndComesSlowly_endsAtTheDeadline)
{
    for (const Endless &endless : All) {
        for (const Kind &kind : Kinds) {
            EndlessFixture fixture;
            fixture.startWith({endless.begin, endless.unit.substr(0, 1), EndlessPace::Aligned});
            const GatewayAnswer answer = fixture.callWithin(kind, "150");
            const std::string what = describe(endless, kind);
            BOOST_TEST((answer.status == 504 || answer.status == 502),
                       what << ": answered " << answer.status);
            fixture.until([&] { return fixture.server.open() == 0; },
                          what + ": the connection's end");
        }
    }
}

// Guards against interim heads without an end that are taken for answers.
BOOST_AUTO_TEST_CASE(interimHeads_haveNoEnd_endAsTheServersFailure)
{
    for (const EndlessPace pace : {EndlessPace::Fast, EndlessPace::Aligned}) {
        for (const Kind &kind : Kinds) {
            EndlessFixture fixture;
            fixture.startWith({"", "HTTP/1.1 102 Processing\r\n\r\n", pace});
            const GatewayAnswer answer = fixture.callWithin(kind, "15000");
            BOOST_TEST(answer.status == 502, kind.target << ": answered " << answer.status);
            BOOST_TEST(fixture.server.mostWritten() <= HeadBytes + SocketBytes);
            BOOST_TEST(fixture.lost() > 0U);
            fixture.until([&] { return fixture.server.open() == 0; }, "the connection's end");
        }
    }
}

// Guards against a stream whose second event has no end being shown as complete, or held.
BOOST_AUTO_TEST_CASE(stream_secondEventHasNoEnd_isCutVisiblyBehindTheFirst)
{
    const std::string first = "id: 1\ndata: piece 1\n\n";
    for (const char *target : {"/stream/x", "/resume/x"}) {
        EndlessFixture fixture;
        fixture.startWith(
                {Events + "\r\n" + first + "data: ", std::string(KiB, 'x'), EndlessPace::Fast});
        const GatewayAnswer answer = fixture.callWithin({target, true}, "15000");
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(!answer.whole);
        BOOST_TEST(answer.body == first);
        BOOST_TEST(fixture.passed("event") > 0U);
        BOOST_TEST(fixture.server.mostWritten() <= EventBytes + SocketBytes);
        fixture.until([&] { return fixture.server.open() == 0; }, "the connection's end");
    }
}

// Guards against an endless head, chunk or trailer of the store or of another box.
BOOST_AUTO_TEST_CASE(storesAnswer_hasNoEnd_isGivenUpAtItsBound)
{
    for (const Endless &endless : All) {
        if (endless.bound > HeadBytes) {
            continue;
        }
        EndlessFixture fixture;
        fixture.startWith({endless.begin, endless.unit, EndlessPace::Fast});
        gateway::FeedConnection connection(fixture.context(), "test");
        const auto opened = fixture.ended(connection.open(fixture.server.where(), 10s));
        BOOST_REQUIRE(opened.has_value());
        const gateway::AnswerWait wait{10s, 10s, 10s};
        const auto answer = fixture.ended(connection.ask({"GET", "/v1/list", {}, {}}, wait));
        connection.close();
        const std::size_t written = fixture.server.mostWritten();
        BOOST_TEST(!answer.has_value(), endless.name);
        BOOST_TEST(written <= endless.bound + SocketBytes,
                   endless.name << ": took " << written << " bytes");
    }
}

// Guards against the same in an answer to a call of its own connection: a server's state, a probe.
BOOST_AUTO_TEST_CASE(statesAnswer_hasNoEnd_isGivenUpAtItsBound)
{
    constexpr std::size_t MostBytes = 4 * MiB;
    for (const Endless &endless : All) {
        EndlessFixture fixture;
        fixture.startWith({endless.begin, endless.unit, EndlessPace::Fast});
        const auto answer = fixture.ended(http::call(fixture.context().io, fixture.server.where(),
                                                     {"GET", "/v1/status", {}, {}}, {}, MostBytes));
        const std::size_t written = fixture.server.mostWritten();
        BOOST_TEST(!answer.has_value(), endless.name);
        BOOST_TEST(written <= std::min(endless.bound, MostBytes) + SocketBytes,
                   endless.name << ": took " << written << " bytes");
        fixture.until([&] { return fixture.server.open() == 0; }, "the connection's end");
    }
}

BOOST_AUTO_TEST_SUITE_END()
