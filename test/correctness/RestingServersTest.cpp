// The choice of a server while some rest, against a plain rule: none of those that rest.

#include "forward/ServerTable.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::forward;

namespace {

const kernel::Instant Start{1000s};

ListedServer serverOf(std::size_t number)
{
    ListedServer server;
    server.id = "i-" + std::to_string(number);
    server.service = "pool";
    server.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
    server.hall = "hall-" + std::to_string(number % 3);
    server.slots = 8;
    server.engine = true;
    return server;
}

Prompt promptOf(std::uint64_t part)
{
    return {"m", 300, 20, {{part, 100}, {part + 1, 100}, {part + 2, 100}}};
}

struct Servers
{
    explicit Servers(std::size_t count)
        : book([&] {
            ServerPolicy policy;
            policy.hall = "hall-0";
            return policy;
        }())
    {
        for (std::size_t number = 0; number < count; ++number) {
            book.put(serverOf(number));
        }
        requirements.service = "pool";
    }

    std::optional<Choice> choose(kernel::Instant now)
    {
        return book.choose(requirements, now, random);
    }

    ServerTable book;
    ServerRequirements requirements;
    std::mt19937_64 random{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RestingServersTest)

BOOST_AUTO_TEST_CASE(choose_randomHistories_neverOneThatRestsAndOneIfAnyDoesNot)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        Servers servers(2 + random() % 12);
        std::map<std::string, kernel::Instant> rests;
        kernel::Instant now = Start;
        for (int step = 0; step < 100; ++step) {
            now += std::chrono::milliseconds(random() % 400);
            const std::string id = "i-" + std::to_string(random() % servers.book.ids().size());
            if (random() % 3 == 0) {
                const auto asked = std::chrono::milliseconds(random() % 5000);
                servers.book.noteBackoff(*servers.book.find(id), asked, now);
                rests[id] = std::max(rests[id], now + asked);
            }
            if (random() % 3 == 0) {
                servers.book.noteFailure(id, Failure::Full, now);
            }
            if (random() % 5 == 0) {
                // Its entry lapses and is back.
                const ListedServer server = *servers.book.find(id);
                servers.book.remove(id);
                servers.book.put(server, now);
            }
            servers.book.noteAwake(now);
            const Prompt prompt = promptOf(random() % 5);
            servers.requirements.prompt = random() % 2 == 0 ? &prompt : nullptr;
            servers.requirements.spread = random() % 4 == 0;
            const bool allBackingOff =
                    static_cast<std::size_t>(std::ranges::count_if(
                            rests, [now](const auto &rest) { return rest.second > now; }))
                    == servers.book.ids().size();
            const auto choice = servers.choose(now);
            BOOST_REQUIRE(choice.has_value() != allBackingOff);
            BOOST_REQUIRE(servers.book.allBackingOff(servers.requirements, now) == allBackingOff);
            if (choice) {
                BOOST_REQUIRE((rests[choice->server.id] <= now));
                BOOST_REQUIRE(servers.book.mayBeSent(choice->server, now));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(mayBeSent_restsSinceItWasChosen_isNot)
{
    Servers servers(1);
    const auto choice = servers.choose(Start);
    BOOST_REQUIRE(choice.has_value());
    servers.book.noteBackoff(serverOf(0), 3s, Start);
    BOOST_TEST(!servers.book.mayBeSent(choice->server, Start));
    BOOST_TEST(!servers.book.mayBeSent(choice->server, Start + 2999ms));
    BOOST_TEST(servers.book.mayBeSent(choice->server, Start + 3s));
}

BOOST_AUTO_TEST_CASE(put_newLifeOfTheSameId_doesNotRest)
{
    Servers servers(0);
    ListedServer server = serverOf(0);
    server.startNumber = 1;
    servers.book.put(server);
    servers.book.noteBackoff(server, 30s, Start);
    server.startNumber = 2;
    servers.book.put(server);
    BOOST_TEST(servers.book.mayBeSent(server, Start));
}

BOOST_AUTO_TEST_CASE(noteRest_lateWordOfAnEarlierLife_doesNotBindTheNewOne)
{
    Servers servers(0);
    ListedServer server = serverOf(0);
    server.startNumber = 2;
    servers.book.put(server);
    ListedServer earlier = server;
    earlier.startNumber = 1;
    servers.book.noteBackoff(earlier, 30s, Start);
    BOOST_TEST(servers.book.noteLeaving(earlier, Start));
    BOOST_TEST(servers.book.mayBeSent(server, Start));
}

BOOST_AUTO_TEST_CASE(noteLeaving_listSaysOtherwiseOrLosesIt_staysSaid)
{
    Servers servers(2);
    BOOST_TEST(servers.book.noteLeaving(serverOf(0), Start));
    BOOST_TEST(!servers.book.noteLeaving(serverOf(0), Start));
    servers.book.put(serverOf(0));
    BOOST_TEST(!servers.book.mayBeSent(serverOf(0), Start));
    servers.book.remove("i-0");
    servers.book.noteAwake(Start + 300s);
    servers.book.put(serverOf(0));
    BOOST_TEST(!servers.book.mayBeSent(serverOf(0), Start + 300s));
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(servers.choose(Start + 300s)->server.id == "i-1");
    }
    // As long as it is listed.
    servers.book.noteAwake(Start + 2000s);
    servers.book.put(serverOf(0));
    BOOST_TEST(!servers.book.mayBeSent(serverOf(0), Start + 2000s));
}

BOOST_AUTO_TEST_CASE(noteAwake_boxStoodStill_doesNotMakeTheRestLonger)
{
    Servers servers(1);
    servers.book.noteAwake(Start);
    servers.book.noteBackoff(serverOf(0), 3s, Start);
    servers.book.noteAwake(Start + 10s);
    BOOST_TEST((servers.book.backoffLeft("i-0", Start + 10s) == kernel::Duration(0)));
}

BOOST_AUTO_TEST_CASE(choose_serversAskForRest_noneIsSentMoreThanItHasPlaces)
{
    Servers servers(2);
    const auto fill = [&](const std::string &id, int requests) {
        for (int request = 0; request < requests; ++request) {
            servers.book.begin(id, nullptr, Start);
        }
    };
    fill("i-0", 8);
    fill("i-1", 8);
    BOOST_TEST(servers.choose(Start).has_value());
    servers.book.noteBackoff(serverOf(0), 300ms, Start);
    BOOST_TEST(!servers.choose(Start).has_value());
    BOOST_TEST(!servers.book.allBackingOff(servers.requirements, Start));
    servers.book.end("i-1");
    BOOST_TEST(servers.choose(Start)->server.id == "i-1");
    fill("i-1", 1);
    BOOST_TEST(!servers.choose(Start + 59s).has_value());
    servers.book.noteAwake(Start + 60s);
    BOOST_TEST(servers.choose(Start + 60s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
