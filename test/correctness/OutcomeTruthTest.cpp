// Fails requests at every point, for chats and services, repeatable or not, and compares the result
// reported to the caller with what ran at the stand-ins. A request that ran must never be reported
// as "not run", and one that must not be repeated must never run twice.

#include "services/PermitService.h"
#include "support/Fleet.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace limereel;
using support::CallerAnswer;
using support::Fleet;
using support::Turn;

namespace {

struct OutcomeTruthFixture
{
    OutcomeTruthFixture()
    {
        fleet.engines("hall-a", 3).serviceRunners("hall-a", 2, "calendar").routers("hall-a", 2);
        fleet.start();
    }

    void onAllEngines(const std::function<void(standin::EngineFaults &)> &fault)
    {
        for (std::size_t index = 0; index < fleet.engineCount(); ++index) {
            fault(fleet.engine(index).faults);
        }
    }

    void onAllRunners(const std::function<void(standin::ServiceFaults &)> &fault)
    {
        fault(fleet.service(0).faults);
        fault(fleet.service(1).faults);
    }

    CallerAnswer remind(std::size_t router, const std::string &body, const std::string &key)
    {
        http::Request request("POST", "/v1/services/calendar/reminders",
                              http::Fields().with("Authorization", "Bearer key-of-the-hauler-a"),
                              body);
        if (!key.empty()) {
            request.fields.add("Idempotency-Key", key);
        }
        return fleet.call(router, request);
    }

    Fleet fleet;
};

/** A streamed chat that lasts for many seconds. */
http::Request longChat()
{
    return {"POST", "/v1/chat/completions",
            http::Fields().with("Authorization", "Bearer key-of-the-hauler-a"),
            R"({"model":"small","stream":true,"max_tokens":5000,"messages":[{"role":"user","content":"x"}]})"};
}

/** The rule that must hold in every row. */
void checkTruth(const CallerAnswer &answer, int runs, bool repeatable)
{
    const bool answered = answer.status != 0;
    if (answered && answer.ran == "not-run") {
        BOOST_TEST(runs == 0);
    }
    if (answered && answer.ran == "ran") {
        BOOST_TEST(runs >= 1);
    }
    if (!repeatable) {
        BOOST_TEST(runs <= 1);
    }
}

struct ChatRow
{
    const char *name;
    std::function<void(standin::EngineFaults &)> fault;
    std::string codeRepeatable;
    std::string codeNotRepeatable;
    int runsRepeatable;
    int runsNotRepeatable;
};

struct ServiceRow
{
    const char *name;
    std::function<void(standin::ServiceFaults &)> fault;
    std::string code;
    int runs;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OutcomeTruthTest, OutcomeTruthFixture)

BOOST_AUTO_TEST_CASE(chat_everyFaultOnEveryEngine_reportedResultIsTrue)
{
    const ChatRow rows[] = {
            {"none", [](auto &) {}, "0", "0", 1, 1},
            {"refused before start", [](auto &f) { f.refuseFull = 9; }, "206", "206", 0, 0},
            {"refused once each", [](auto &f) { f.refuseFull = 1; }, "206", "206", 0, 0},
            {"no byte of an answer", [](auto &f) { f.dropUnanswered = 9; }, "400", "400", 3, 1},
            {"answered failure", [](auto &f) { f.failAnswer = 9; }, "300", "300", 1, 1},
            {"end marker lost", [](auto &f) { f.loseEnd = 9; }, "301", "301", 3, 1},
            {"stream cut, resumed",
             [](auto &f) {
                 f.cutStream = 2;
                 f.cutAfter = 1;
             },
             "0", "0", 1, 1},
    };
    for (const ChatRow &row : rows) {
        for (const bool repeatable : {true, false}) {
            BOOST_TEST_CONTEXT(row.name << ", repeatable " << repeatable)
            {
                onAllEngines(row.fault);
                const int before = fleet.engineRuns();
                const auto answer = fleet.chat(
                        0, Turn{.chat = row.name, .stream = false, .repeatable = repeatable});
                onAllEngines([](auto &faults) { faults = {}; });
                const int runs = fleet.engineRuns() - before;
                checkTruth(answer, runs, repeatable);
                BOOST_TEST(answer.resultCode
                           == (repeatable ? row.codeRepeatable : row.codeNotRepeatable));
                BOOST_TEST(runs == (repeatable ? row.runsRepeatable : row.runsNotRepeatable));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(chat_streamCutAfterTheCallerHasBytes_endsWithAnError)
{
    onAllEngines([](auto &faults) { faults.loseEnd = 9; });
    const auto answer = fleet.chat(0, Turn{.chat = "c"});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(!answer.whole);
    BOOST_TEST(answer.body.find("event: error") != std::string::npos);
    BOOST_TEST(answer.body.find("\"code\":301") != std::string::npos);
    BOOST_TEST(answer.body.find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(chat_streamBrokenAtEveryOffset_callerGetsWholeAnswer)
{
    for (std::uint64_t offset = 1; offset <= 8; ++offset) {
        onAllEngines([offset](auto &faults) {
            faults.cutStream = 3;
            faults.cutAfter = offset;
        });
        const auto answer = fleet.chat(
                offset % 2, Turn{.chat = "c" + std::to_string(offset), .says = "x", .tokens = 8});
        BOOST_TEST(answer.whole);
        BOOST_TEST(answer.text() == "[x] t1 t2 t3 t4 t5 t6 t7");
    }
}

BOOST_AUTO_TEST_CASE(chat_foreignRepeatedAndSwappedFrames_callerGetsOnlyItsOwn)
{
    onAllEngines([](auto &faults) {
        faults.foreignFrame = 3;
        faults.repeatFrame = 3;
        faults.swapFrames = 2;
    });
    const auto answer = fleet.chat(0, Turn{.chat = "c", .says = "mine", .tokens = 8});
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.text() == "[mine] t1 t2 t3 t4 t5 t6 t7");
}

BOOST_AUTO_TEST_CASE(chat_engineRestartsUnderItsAddress_streamEndsWithAnError)
{
    std::string body;
    fleet.await([&]() -> boost::asio::awaitable<void> {
        auto stream = co_await http::Stream::open(fleet.io(), fleet.context(0).settings.caller,
                                                  longChat(), {});
        BOOST_REQUIRE(stream.has_value());
        body = (co_await stream->read()).value().bytes;
        for (std::size_t index = 0; index < fleet.engineCount(); ++index) {
            fleet.engine(index).restart();
        }
        for (auto part = co_await stream->read(); part && !part->end;
             part = co_await stream->read()) {
            body += part->bytes;
        }
    });
    BOOST_TEST(body.find("event: error") != std::string::npos);
    BOOST_TEST(body.find("[DONE]") == std::string::npos);
    BOOST_TEST(fleet.engineRuns() == 1);
}

BOOST_AUTO_TEST_CASE(service_everyFaultOnEveryRunner_reportedResultIsTrueAndRunsOnce)
{
    const ServiceRow rows[] = {
            {"none", [](auto &) {}, "0", 1},
            {"refused before start", [](auto &f) { f.refuse = 9; }, "206", 0},
            {"closed before it ran", [](auto &f) { f.dropBeforeRun = 9; }, "400", 0},
            {"closed after it ran", [](auto &f) { f.dropAfterRun = 9; }, "400", 1},
            {"answer cut", [](auto &f) { f.cutAnswer = 9; }, "301", 1},
            {"another call's answer", [](auto &f) { f.foreignAnswer = 9; }, "302", 1},
            {"answered failure", [](auto &f) { f.failAnswer = 9; }, "300", 1},
    };
    for (const ServiceRow &row : rows) {
        for (const bool keyed : {true, false}) {
            BOOST_TEST_CONTEXT(row.name << ", keyed " << keyed)
            {
                onAllRunners(row.fault);
                const int before = fleet.serviceRuns();
                const std::string key = keyed ? std::string("key ") + row.name : "";
                const auto answer = remind(0, row.name, key);
                onAllRunners([](auto &faults) { faults = {}; });
                const int runs = fleet.serviceRuns() - before;
                checkTruth(answer, runs, false);
                BOOST_TEST(answer.resultCode == row.code);
                BOOST_TEST(runs == row.runs);
                if (keyed) {
                    // Sent again to the other router: it runs only if the first result was "not
                    // run".
                    const auto again = remind(1, row.name, key);
                    const int all = fleet.serviceRuns() - before;
                    BOOST_TEST(all <= 1);
                    BOOST_TEST((again.resultCode == "0") == (answer.ran == "not-run"));
                }
            }
        }
    }
}

// Guards against an answer that may have been broken off reaching its caller with a length.
BOOST_AUTO_TEST_CASE(service_answerHasNoLength_isPassedOnWithoutOne)
{
    onAllRunners([](auto &faults) { faults.unmarkedAnswer = 1; });
    const auto unmarked = remind(0, "no length", "");
    BOOST_TEST(unmarked.resultCode == "0");
    BOOST_TEST(unmarked.body.find("no length") != std::string::npos);
    BOOST_TEST(!unmarked.marked);
    onAllRunners([](auto &faults) { faults = {}; });
    BOOST_TEST(remind(0, "a length", "").marked);
}

BOOST_AUTO_TEST_CASE(service_sameKeyAtBothRoutersAtTheSameMoment_runsOnce)
{
    // Few rounds: more would reach the router's share of the platform's write rate.
    for (int round = 0; round < 4; ++round) {
        const std::string name = "round " + std::to_string(round);
        std::vector<CallerAnswer> answers;
        fleet.await([&]() -> boost::asio::awaitable<void> {
            int open = 4;
            for (std::size_t caller = 0; caller < 4; ++caller) {
                boost::asio::co_spawn(
                        fleet.io(),
                        [&, caller]() -> boost::asio::awaitable<void> {
                            http::Request request(
                                    "POST", "/v1/services/calendar/reminders",
                                    http::Fields()
                                            .with("Authorization", "Bearer key-of-the-hauler-a")
                                            .with("Idempotency-Key", name),
                                    name);
                            answers.push_back(co_await fleet.callAsync(caller % 2, request));
                            --open;
                        },
                        boost::asio::detached);
            }
            boost::asio::steady_timer timer(fleet.io());
            while (open > 0) {
                timer.expires_after(1ms);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
        });
        const auto ran = std::ranges::count(answers, std::string("0"), &CallerAnswer::resultCode);
        BOOST_TEST(ran == 1);
        BOOST_TEST(std::ranges::count(answers, std::string("208"), &CallerAnswer::resultCode) == 3);
        BOOST_TEST(fleet.service(0).runs().count(name) + fleet.service(1).runs().count(name) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(service_claimAnswerLost_ownClaimIsRecognised)
{
    fleet.platform().faults.loseAnswers = 1;
    const auto answer = remind(0, "body", "key");
    BOOST_TEST(answer.resultCode == "0");
    BOOST_TEST(fleet.serviceRuns() == 1);
}

BOOST_AUTO_TEST_CASE(service_platformUnreachable_keyedCallIsRefusedAsNotRunWithRetryAfter)
{
    fleet.platform().faults.down = true;
    const auto answer = remind(0, "body", "key");
    BOOST_TEST((answer.resultCode == "207" || answer.resultCode == "211"));
    BOOST_TEST(answer.ran == "not-run");
    BOOST_TEST(!answer.retryAfter.empty());
    BOOST_TEST(fleet.serviceRuns() == 0);
    BOOST_TEST(remind(0, "unkeyed", "").resultCode == "0");
}

BOOST_AUTO_TEST_CASE(caller_closesMidStream_engineCancelsTheRequest)
{
    fleet.await([&]() -> boost::asio::awaitable<void> {
        auto stream = co_await http::Stream::open(fleet.io(), fleet.context(0).settings.caller,
                                                  longChat(), {});
        BOOST_REQUIRE(stream.has_value());
        co_await stream->read();
    });
    const auto cancelled = [this] {
        return fleet.engine(0).cancelled() + fleet.engine(1).cancelled()
                       + fleet.engine(2).cancelled()
               == 1;
    };
    BOOST_TEST(fleet.until(cancelled));
    BOOST_TEST(fleet.until([this] {
        return fleet.context(0).kernel.find<services::PermitService>("permits").held() == 0;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
