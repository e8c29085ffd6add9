// Answers that a backend server breaks off: the caller's answer is complete exactly where the
// server's is known to be, whatever its framing, wherever it ends, and whatever kind of request it
// answers.

#include "gateway/FleetView.h"
#include "platform/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;
using standin::AnswerFraming;
using standin::CutAnswer;

namespace {

constexpr std::size_t Events = 5;
constexpr std::size_t EventBytes = 21;
constexpr std::size_t ChunkHeadBytes = 4; ///< "15" and its line end.
constexpr std::size_t ChunkBytes = ChunkHeadBytes + EventBytes + 2;
constexpr std::size_t LastEvent = (Events - 1) * EventBytes; ///< Where it begins.

std::string firstEvents(std::size_t count)
{
    std::string text;
    for (std::size_t event = 1; event <= count; ++event) {
        const std::string number = std::to_string(event);
        text += "id: " + number + "\ndata: piece " + number + "\n\n";
    }
    return text;
}

/** A kind of request. */
struct Kind
{
    const char *target;
    bool stream;
    bool repeatable;
};

const std::vector<Kind> Kinds = {{"/once/x", false, false},
                                 {"/again/x", false, true},
                                 {"/stream/x", true, false},
                                 {"/resume/x", true, true}};

// A gateway between two servers of which the first that is asked breaks its answer off.
class CutFixture : public GatewayFixture
{
public:
    GatewayAnswer callMeeting(const CutAnswer &cut, const Kind &kind)
    {
        startReady();
        runner(0).nextCut = runner(1).nextCut = cut;
        const auto pending =
                begin(kind.stream ? promptRequest(kind.target) : request("POST", kind.target));
        until([this] { return runs() > 0; }, "the run");
        for (std::size_t index = 0; index < 2; ++index) {
            if (runner(index).records().empty()) {
                runner(index).nextCut.reset();
            }
        }
        return finish(pending);
    }

    /** The same, with both servers listed as leaving while the answer is on its way. */
    GatewayAnswer callMeetingWhileLeaving(const CutAnswer &cut, const Kind &kind)
    {
        startReady();
        for (std::size_t index = 0; index < 2; ++index) {
            runner(index).nextCut = cut;
            runner(index).slots = 1;
            runner(index).work = 1500ms;
        }
        const auto pending = begin(request("POST", kind.target));
        until([this] { return runs() > 0; }, "the run");
        for (std::size_t index = 0; index < 2; ++index) {
            list(runner(index), "pool", "draining");
        }
        auto &servers = context().kernel.find<gateway::FleetView>("world").servers();
        const auto leaves = [&servers](const std::string &id) {
            const auto listed = servers.find(id);
            return listed && listed->leaving;
        };
        until([&] { return leaves("i-one") && leaves("i-two"); }, "both are known to leave");
        return finish(pending);
    }

    bool broken() { return context().counters.value("attempt_failures", {{"reason", "lost"}}) > 0; }
};

std::string describe(const CutAnswer &cut, const Kind &kind)
{
    const char *const framings[] = {"length", "chunks", "connection"};
    return std::string(kind.target) + ", framed by " + framings[static_cast<int>(cut.framing)]
           + ", " + (cut.reset ? "reset" : "closed") + " after " + std::to_string(cut.bytes);
}

/** What a server's answer is, from its bytes alone. */
enum class Sent : std::uint8_t { Complete, Broken, Unknown };

Sent sentOf(const CutAnswer &cut, const Kind &kind, std::size_t allBytes)
{
    if (cut.framing != AnswerFraming::Connection) {
        return cut.bytes == allBytes ? Sent::Complete : Sent::Broken;
    }
    const bool insideEvent = cut.bytes % EventBytes != 0 || cut.bytes == 0;
    return cut.reset || (kind.stream && insideEvent) ? Sent::Broken : Sent::Unknown;
}

std::size_t eventsIn(const CutAnswer &cut)
{
    if (cut.framing == AnswerFraming::Chunks) {
        return std::min(Events,
                        (cut.bytes + ChunkBytes - ChunkHeadBytes - EventBytes) / ChunkBytes);
    }
    return cut.bytes / EventBytes;
}

// What the caller of one request must get.
void check(const CutAnswer &cut, const Kind &kind, std::size_t allBytes)
{
    CutFixture fixture;
    const GatewayAnswer answer = fixture.callMeeting(cut, kind);
    const std::string what = describe(cut, kind);
    const Sent sent = sentOf(cut, kind, allBytes);
    const bool repeated = sent == Sent::Broken && kind.repeatable;
    BOOST_TEST(fixture.runs() == (repeated ? 2U : 1U), what << ": wrong number of runs");
    BOOST_TEST(fixture.broken() == (sent == Sent::Broken), what << ": wrongly judged");
    if (kind.stream) {
        const bool complete = repeated || sent != Sent::Broken;
        const std::string events = firstEvents(repeated ? Events : eventsIn(cut));
        if (events.empty()) {
            BOOST_TEST(answer.status == 502, what << ": status");
            return;
        }
        BOOST_TEST(answer.marked == complete, what << ": framed as complete, or not");
        BOOST_TEST(answer.body == events, what << ": events");
    } else if (sent == Sent::Broken && !repeated) {
        BOOST_TEST(answer.status == 502, what << ": status");
    } else {
        const std::string body = "done by " + fixture.used().name();
        const bool known = sent != Sent::Unknown;
        BOOST_TEST(answer.marked == known, what << ": framed as complete, or not");
        BOOST_TEST((repeated || answer.body == body.substr(0, known ? body.size() : cut.bytes)),
                   what << ": body");
    }
}

std::size_t wireBytes(const Kind &kind, AnswerFraming framing)
{
    boost::asio::io_context io;
    const standin::RunnerStandin runner(io, "i-one", {"127.0.0.1", 0});
    const http::Request request = kind.stream ? CutFixture::promptRequest(kind.target)
                                              : CutFixture::request("POST", kind.target);
    return runner.framedBody(request, framing).size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenAnswerTest)

// Guards against a stream that its server broke off inside an event reaching its caller as
// complete.
BOOST_AUTO_TEST_CASE(streamWithoutLengthOrChunks_endsInsideAnEvent_isShownAsCut)
{
    for (std::size_t end = LastEvent + 1; end < Events * EventBytes; ++end) {
        CutFixture fixture;
        const auto answer = fixture.callMeeting({.bytes = end}, {"/stream/x", true, false});
        BOOST_TEST(!answer.whole, "complete although it ends after " << end << " bytes");
        BOOST_TEST(answer.body == firstEvents(Events - 1));
        BOOST_TEST(fixture.runs() == 1U);
    }
}

// Guards against a stream that may be resumed ending at the event inside which its server broke
// off.
BOOST_AUTO_TEST_CASE(resumableStreamWithoutLengthOrChunks_endsInsideAnEvent_goesOnElsewhere)
{
    for (std::size_t end = LastEvent + 1; end < Events * EventBytes; ++end) {
        CutFixture fixture;
        const auto answer = fixture.callMeeting({.bytes = end}, {"/resume/x", true, true});
        BOOST_TEST(answer.whole);
        BOOST_TEST(answer.body == firstEvents(Events),
                   "wrong where it ends after " << end << " bytes");
        BOOST_TEST(fixture.runs() == 2U);
    }
}

// Guards against a stream whose events have no ids being begun anew in the middle of its answer.
BOOST_AUTO_TEST_CASE(resumableStreamWithoutIds_breaksOff_isShownAsCutAndNothingIsDoubled)
{
    CutFixture fixture;
    fixture.runner(0).numbersEvents = fixture.runner(1).numbersEvents = false;
    const std::string two = "data: piece 1\n\ndata: piece 2\n\n";
    const CutAnswer cut{.framing = AnswerFraming::Length, .bytes = two.size() + 3};
    const auto answer = fixture.callMeeting(cut, {"/resume/x", true, true});
    BOOST_TEST(!answer.whole);
    BOOST_TEST(answer.body == two);
    BOOST_TEST(fixture.runs() == 1U);
}

// Guards against any other end of an answer that is taken for a different one.
BOOST_AUTO_TEST_CASE(answer_endsAfterEachByteInEachWay_isCompleteForTheCallerOnlyWhereItIsKnownToBe)
{
    std::size_t cases = 0;
    for (const Kind &kind : Kinds) {
        for (const AnswerFraming framing :
             {AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Connection}) {
            const std::size_t allBytes = wireBytes(kind, framing);
            for (std::size_t end = 0; end <= allBytes; ++end) {
                check({.framing = framing, .bytes = end}, kind, allBytes);
                check({.framing = framing, .bytes = end, .reset = true}, kind, allBytes);
                cases += 2;
            }
        }
    }
    BOOST_TEST_MESSAGE(cases << " ends of answers");
}

// Guards against a crash between two events, or in an answer without a length, that is taken for
// the end of the answer, whether the request may be repeated or not.
BOOST_AUTO_TEST_CASE(serverEndsWithItsAnswer_nothingMarksTheEnd_isNotTakenForComplete)
{
    for (std::size_t events = 1; events <= Events; ++events) {
        const CutAnswer cut{.bytes = events * EventBytes, .portToo = true};
        CutFixture once;
        const auto shown = once.callMeeting(cut, {"/stream/x", true, false});
        BOOST_TEST(!shown.whole);
        BOOST_TEST(shown.body == firstEvents(events));
        CutFixture resumable;
        const auto resumed = resumable.callMeeting(cut, {"/resume/x", true, true});
        BOOST_TEST(resumed.whole);
        BOOST_TEST(resumed.body == firstEvents(Events));
    }
    CutFixture repeatable;
    const CutAnswer cut{.bytes = 4, .portToo = true};
    BOOST_TEST(repeatable.callMeeting(cut, {"/again/x", false, true}).marked);
    BOOST_TEST(repeatable.runs() == 2U);
    CutFixture onceOnly;
    const auto answer = onceOnly.callMeeting(cut, {"/once/x", false, false});
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(onceOnly.runs() == 1U);
}

// Guards against the same where the port of a killed server, which has many connections, closes
// some milliseconds after the one with the answer.
BOOST_AUTO_TEST_CASE(serverIsKilled_itsPortClosesAfterItsConnections_partIsNotTakenForComplete)
{
    for (const kernel::Duration portAfter : {1ms, 3ms, 8ms}) {
        const CutAnswer cut{.bytes = 4, .portToo = true, .portAfter = portAfter};
        CutFixture onceOnly;
        BOOST_TEST(onceOnly.callMeeting(cut, {"/once/x", false, false}).status == 502);
        BOOST_TEST(onceOnly.runs() == 1U);
        CutFixture repeatable;
        BOOST_TEST(repeatable.callMeeting(cut, {"/again/x", false, true}).marked);
        BOOST_TEST(repeatable.runs() == 2U);
        const CutAnswer betweenEvents{
                .bytes = 2 * EventBytes, .portToo = true, .portAfter = portAfter};
        CutFixture stream;
        const auto shown = stream.callMeeting(betweenEvents, {"/stream/x", true, false});
        BOOST_TEST(!shown.whole);
        BOOST_TEST(shown.body == firstEvents(2));
    }
}

// Guards against the same at a server that is listed as leaving.
BOOST_AUTO_TEST_CASE(leavingServerIsKilled_nothingMarksTheEnd_partIsNotTakenForComplete)
{
    for (const kernel::Duration portAfter : {0ms, 3ms}) {
        const CutAnswer cut{.bytes = 4, .portToo = true, .portAfter = portAfter};
        CutFixture fixture;
        BOOST_TEST(fixture.callMeetingWhileLeaving(cut, {"/once/x", false, false}).status == 502);
        BOOST_TEST(fixture.runs() == 1U);
    }
}

// A server that goes on listening has sent all, also if it turns other connections away.
BOOST_AUTO_TEST_CASE(soundServerResetsAnotherConnection_nothingMarksTheEnd_isPassedOn)
{
    CutFixture fixture;
    fixture.runner(0).resetsIdle = fixture.runner(1).resetsIdle = true;
    const auto answer = fixture.callMeeting({.bytes = 13}, {"/once/x", false, false});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "done by " + fixture.used().name());
}

BOOST_AUTO_TEST_SUITE_END()
