// The choice among the servers of a plain service that differ in speed, lack room or fail.

#include "forward/ServerTable.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace limereel;
using namespace limereel::forward;

namespace {

const kernel::Instant Start{1000s};
constexpr int Choices = 12000;

ListedServer plainServer(const std::string &id)
{
    ListedServer server;
    server.id = id;
    server.service = "plain";
    server.hall = "a";
    server.slots = 6;
    return server;
}

struct PaceFixture
{
    explicit PaceFixture(bool comparePaces = true)
        : table({.hall = "a", .comparePaces = comparePaces})
    {
        for (const char *id : {"s0", "s1", "s2", "s3"}) {
            table.put(plainServer(id));
        }
    }

    void answer(const std::string &id, kernel::Duration taken, kernel::Instant now = Start)
    {
        table.noteAnswerTime(id, taken, now);
    }

    /** Four servers of which the first is slower than the others by \a factor. */
    void answerSlowly(int factor)
    {
        answer("s0", 40ms * factor);
        for (const char *id : {"s1", "s2", "s3"}) {
            answer(id, 40ms);
        }
    }

    void run(const std::string &id, int requests)
    {
        for (int request = 0; request < requests; ++request) {
            table.begin(id, nullptr, Start);
        }
    }

    std::string choose(const ServerRequirements &requirements, kernel::Instant now = Start)
    {
        const auto choice = table.choose(requirements, now, random);
        return choice ? choice->server.id : "";
    }

    /** The part of many choices that goes to \a id. */
    double shareOf(const std::string &id, kernel::Instant now = Start)
    {
        int chosen = 0;
        for (int choice = 0; choice < Choices; ++choice) {
            chosen += choose({.service = "plain"}, now) == id ? 1 : 0;
        }
        return static_cast<double>(chosen) / Choices;
    }

    ServerTable table;
    std::mt19937_64 random{1};
};

struct NotComparedFixture : PaceFixture
{
    NotComparedFixture()
        : PaceFixture(false)
    {
    }
};

bool between(double value, double least, double most)
{
    return least <= value && value <= most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerPaceTest)

// Guards against a slow server that gets as much as the others, or nothing.
BOOST_FIXTURE_TEST_CASE(choose_serverSixTimesSlower_getsAShareByItsSpeed, PaceFixture)
{
    answerSlowly(6);
    const double slow = shareOf("s0");
    for (const char *id : {"s1", "s2", "s3"}) {
        BOOST_TEST(between(slow / shareOf(id), 0.1, 0.2));
    }
}

// Guards against fast servers that queue requests while a slow one is idle.
BOOST_FIXTURE_TEST_CASE(choose_fastServersBusy_extraTimeCountsAsLoad, PaceFixture)
{
    answerSlowly(6);
    for (const char *id : {"s1", "s2", "s3"}) {
        run(id, 4);
    }
    BOOST_TEST(shareOf("s0") < 0.25);
    for (const char *id : {"s1", "s2", "s3"}) {
        run(id, 2);
    }
    BOOST_TEST(shareOf("s0") == 1);
}

BOOST_FIXTURE_TEST_CASE(choose_differenceBelowTwo_countsAsNone, PaceFixture)
{
    answer("s0", 79ms);
    for (const char *id : {"s1", "s2", "s3"}) {
        answer(id, 40ms);
    }
    BOOST_TEST(between(shareOf("s0"), 0.22, 0.28));
}

// Guards against a server that recovered and doesn't get its share for long.
BOOST_FIXTURE_TEST_CASE(choose_noAnswersForFiveSeconds_slowServerGetsItsShareAgain, PaceFixture)
{
    answerSlowly(6);
    BOOST_TEST(shareOf("s0", Start + 1s) < 0.1);
    for (int second = 1; second <= 5; ++second) {
        for (const char *id : {"s1", "s2", "s3"}) {
            answer(id, 40ms, Start + second * 1s);
        }
    }
    BOOST_TEST(between(shareOf("s0", Start + 5s), 0.22, 0.28));
}

BOOST_FIXTURE_TEST_CASE(choose_fastAnswersAfterSlowOnes_serverGetsItsShareAgain, PaceFixture)
{
    answerSlowly(6);
    for (int number = 0; number < 8; ++number) {
        answer("s0", 40ms);
    }
    BOOST_TEST(between(shareOf("s0"), 0.22, 0.28));
}

// Guards against records that stop being tracked while they have a pace, and against servers that
// are then counted twice or not at all.
BOOST_FIXTURE_TEST_CASE(choose_someServersHaveAPace_theOthersAreStillFound, PaceFixture)
{
    answer("s0", 240ms);
    answer("s1", 40ms);
    table.noteAwake(Start + 50ms);
    BOOST_TEST(shareOf("s0", Start + 50ms) < 0.1);
    BOOST_TEST(shareOf("s2", Start + 50ms) > 0.2);
    BOOST_TEST(shareOf("s3", Start + 50ms) > 0.2);
    table.noteAwake(Start + 12s);
    for (const char *id : {"s0", "s1", "s2", "s3"}) {
        BOOST_TEST(between(shareOf(id, Start + 12s), 0.22, 0.28));
    }
}

BOOST_AUTO_TEST_CASE(hasDefaultState_whileThereIsAPace_isFalse)
{
    ServerRecord record;
    BOOST_TEST(record.hasDefaultState(Start));
    record.pace.note(40ms, Start);
    BOOST_TEST(!record.hasDefaultState(Start + 11s));
    BOOST_TEST(record.hasDefaultState(Start + 12s));
}

// Engines answer at the length of the answer that is asked for, which says nothing on their speed.
BOOST_FIXTURE_TEST_CASE(noteAnswerTime_engine_isIgnored, PaceFixture)
{
    for (const char *id : {"s0", "s1", "s2", "s3"}) {
        ListedServer engine = plainServer(id);
        engine.engine = true;
        table.put(engine);
    }
    answerSlowly(6);
    BOOST_TEST(between(shareOf("s0"), 0.22, 0.28));
}

// Guards against other choices than before where admission is off: the digest is of the choices
// that the code of commit a68b6b9, which knew no paces, made in this history.
BOOST_AUTO_TEST_CASE(choose_pacesNotCompared_answerTimesChangeNothing)
{
    NotComparedFixture with;
    NotComparedFixture without;
    std::mt19937_64 random(2);
    kernel::Instant now = Start;
    std::uint64_t digest = 0;
    for (int step = 0; step < 5000; ++step) {
        now += std::chrono::milliseconds(random() % 20);
        ServerRequirements requirements{.service = "plain"};
        if (random() % 4 == 0) {
            requirements.tried = {"s" + std::to_string(random() % 4)};
        }
        const std::string chosen = with.choose(requirements, now);
        BOOST_REQUIRE(chosen == without.choose(requirements, now));
        with.answer(chosen, std::chrono::milliseconds(10 + random() % 300), now);
        const auto event = random() % 10;
        for (PaceFixture *fixture :
             {static_cast<PaceFixture *>(&with), static_cast<PaceFixture *>(&without)}) {
            ServerTable &table = fixture->table;
            table.begin(chosen, nullptr, now);
            table.noteHeard(chosen, now);
            if (event < 7) {
                table.end(chosen);
                table.noteSuccess(chosen, now);
            } else if (event < 9) {
                table.end(chosen);
                table.noteFailure(chosen, event == 7 ? Failure::Error : Failure::Full, now);
            }
            table.noteAwake(now);
        }
        digest = digest * 31 + static_cast<std::uint64_t>(chosen.empty() ? 0 : chosen.back());
    }
    BOOST_TEST(digest == 12852063589083496727U);
}

// Guards against a caller that returns to another owner than the one that refused it.
BOOST_FIXTURE_TEST_CASE(choose_order_isTheSameRegardlessOfLoad, PaceFixture)
{
    PaceFixture other;
    run("s0", 3);
    other.run("s2", 5);
    std::set<std::string> chosen;
    for (std::uint64_t order = 1; order <= 100; ++order) {
        const ServerRequirements requirements{.service = "plain", .order = order};
        const std::string id = choose(requirements);
        BOOST_TEST(id == other.choose(requirements));
        chosen.insert(id);
    }
    BOOST_TEST(chosen.size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(choose_orderWithFullServers_skipsThemAndThenFindsNone, PaceFixture)
{
    ServerRequirements requirements{.service = "plain", .order = 7};
    std::set<std::string> chosen;
    for (int server = 0; server < 4; ++server) {
        const std::string id = choose(requirements);
        BOOST_TEST(chosen.insert(id).second);
        requirements.full.push_back(id);
    }
    BOOST_TEST(choose(requirements).empty());
}

// Guards against a shortage that a slow server prolongs.
BOOST_FIXTURE_TEST_CASE(choose_orderWithASlowServer_itComesLast, PaceFixture)
{
    answerSlowly(6);
    for (std::uint64_t order = 1; order <= 20; ++order) {
        ServerRequirements requirements{.service = "plain", .order = order};
        BOOST_TEST(choose(requirements) != "s0");
        requirements.full = {"s1", "s2", "s3"};
        BOOST_TEST(choose(requirements) == "s0");
    }
}

BOOST_FIXTURE_TEST_CASE(choose_noOrder_isTheLeastLoadedAsBefore, NotComparedFixture)
{
    for (const char *id : {"s0", "s1", "s3"}) {
        run(id, 1);
    }
    BOOST_TEST(choose({.service = "plain"}) == "s2");
}

BOOST_FIXTURE_TEST_CASE(choose_orderWithAPrompt_isIgnored, PaceFixture)
{
    Prompt prompt;
    prompt.model = "m";
    prompt.parts = {{1, 100}, {2, 10}};
    const ServerRequirements plain{.service = "plain", .prompt = &prompt};
    for (std::uint64_t order = 1; order <= 20; ++order) {
        ServerRequirements ordered = plain;
        ordered.order = order;
        BOOST_TEST(choose(ordered) == choose(plain));
    }
}

BOOST_FIXTURE_TEST_CASE(hasFreeSlot_slotsTakenOrMarkedFull_isFalse, PaceFixture)
{
    BOOST_TEST(!table.hasFreeSlot("unlisted", Start));
    BOOST_TEST(table.hasFreeSlot("s0", Start));
    run("s0", 5);
    BOOST_TEST(table.hasFreeSlot("s0", Start));
    run("s0", 1);
    BOOST_TEST(!table.hasFreeSlot("s0", Start));
    table.setOthers("s1", 6, Start);
    BOOST_TEST(!table.hasFreeSlot("s1", Start));
    table.noteFailure("s2", Failure::Full, Start);
    BOOST_TEST(!table.hasFreeSlot("s2", Start));
    BOOST_TEST(table.hasFreeSlot("s2", Start + 150ms));
}

// Guards against a retry that goes to a server that fails as well, because it has less load.
BOOST_FIXTURE_TEST_CASE(choose_retry_prefersTheServerWithTheFewestFailures, PaceFixture)
{
    table.noteFailure("s0", Failure::Error, Start);
    for (const char *id : {"s1", "s2", "s3"}) {
        run(id, 5);
    }
    const ServerRequirements first{.service = "plain"};
    const ServerRequirements retry{.service = "plain", .tried = {"s1"}};
    BOOST_TEST(choose(first) == "s0");
    for (int choice = 0; choice < 20; ++choice) {
        const std::string id = choose(retry);
        BOOST_TEST((id == "s2" || id == "s3"));
    }
    table.noteFailure("s2", Failure::Error, Start);
    table.noteFailure("s2", Failure::Error, Start);
    BOOST_TEST(choose({.service = "plain", .tried = {"s1", "s3"}}) == "s0");
}

BOOST_FIXTURE_TEST_CASE(choose_retryWherePacesAreNotCompared_isAsBefore, NotComparedFixture)
{
    table.noteFailure("s0", Failure::Error, Start);
    for (const char *id : {"s1", "s2", "s3"}) {
        run(id, 5);
    }
    BOOST_TEST(choose({.service = "plain", .tried = {"s1"}}) == "s0");
}

BOOST_AUTO_TEST_SUITE_END()
