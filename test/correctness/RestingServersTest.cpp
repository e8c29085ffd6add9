// The choice of a server while some have asked for backoff, compared with a simple rule: none of
// those.

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
        : table([&] {
            ServerPolicy policy;
            policy.hall = "hall-0";
            return policy;
        }())
    {
        for (std::size_t number = 0; number < count; ++number) {
            table.put(serverOf(number));
        }
        requirements.service = "pool";
    }

    std::optional<Choice> choose(kernel::Instant now)
    {
        return table.choose(requirements, now, random);
    }

    ServerTable table;
    ServerRequirements requirements;
    std::mt19937_64 random{1};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RestingServersTest)

BOOST_AUTO_TEST_CASE(choose_randomHistories_neverOneInBackoffAndOneIfAnyIsNot)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        Servers servers(2 + random() % 12);
        std::map<std::string, kernel::Instant> backoffs;
        kernel::Instant now = Start;
        for (int step = 0; step < 100; ++step) {
            now += std::chrono::milliseconds(random() % 400);
            const std::string id = "i-" + std::to_string(random() % servers.table.ids().size());
            if (random() % 3 == 0) {
                const auto asked = std::chrono::milliseconds(random() % 5000);
                servers.table.noteBackoff(*servers.table.find(id), asked, now);
                backoffs[id] = std::max(backoffs[id], now + asked);
            }
            if (random() % 3 == 0) {
                servers.table.noteFailure(id, Failure::Full, now);
            }
            if (random() % 5 == 0) {
                // Its entry disappears and returns.
                const ListedServer server = *servers.table.find(id);
                servers.table.remove(id);
                servers.table.put(server, now);
            }
            servers.table.noteAwake(now);
            const Prompt prompt = promptOf(random() % 5);
            servers.requirements.prompt = random() % 2 == 0 ? &prompt : nullptr;
            servers.requirements.spread = random() % 4 == 0;
            const bool allBackingOff =
                    static_cast<std::size_t>(std::ranges::count_if(
                            backoffs, [now](const auto &backoff) { return backoff.second > now; }))
                    == servers.table.ids().size();
            const auto choice = servers.choose(now);
            BOOST_REQUIRE(choice.has_value() != allBackingOff);
            BOOST_REQUIRE(servers.table.allBackingOff(servers.requirements, now) == allBackingOff);
            if (choice) {
                BOOST_REQUIRE((backoffs[choice->server.id] <= now));
                BOOST_REQUIRE(servers.table.mayBeSent(choice->server, now));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(mayBeSent_inBackoffSinceItWasChosen_isFalse)
{
    Servers servers(1);
    const auto choice = servers.choose(Start);
    BOOST_REQUIRE(choice.has_value());
    servers.table.noteBackoff(serverOf(0), 3s, Start);
    BOOST_TEST(!servers.table.mayBeSent(choice->server, Start));
    BOOST_TEST(!servers.table.mayBeSent(choice->server, Start + 2999ms));
    BOOST_TEST(servers.table.mayBeSent(choice->server, Start + 3s));
}

BOOST_AUTO_TEST_CASE(put_newIncarnationOfTheSameId_isNotInBackoff)
{
    Servers servers(0);
    ListedServer server = serverOf(0);
    server.startNumber = 1;
    servers.table.put(server);
    servers.table.noteBackoff(server, 30s, Start);
    server.startNumber = 2;
    servers.table.put(server);
    BOOST_TEST(servers.table.mayBeSent(server, Start));
}

BOOST_AUTO_TEST_CASE(noteBackoff_lateRequestOfAnEarlierIncarnation_doesNotAffectTheNewOne)
{
    Servers servers(0);
    ListedServer server = serverOf(0);
    server.startNumber = 2;
    servers.table.put(server);
    ListedServer earlier = server;
    earlier.startNumber = 1;
    servers.table.noteBackoff(earlier, 30s, Start);
    BOOST_TEST(servers.table.noteLeaving(earlier, Start));
    BOOST_TEST(servers.table.mayBeSent(server, Start));
}

BOOST_AUTO_TEST_CASE(noteLeaving_listDisagreesOrOmitsIt_staysLeaving)
{
    Servers servers(2);
    BOOST_TEST(servers.table.noteLeaving(serverOf(0), Start));
    BOOST_TEST(!servers.table.noteLeaving(serverOf(0), Start));
    servers.table.put(serverOf(0));
    BOOST_TEST(!servers.table.mayBeSent(serverOf(0), Start));
    servers.table.remove("i-0");
    servers.table.noteAwake(Start + 300s);
    servers.table.put(serverOf(0));
    BOOST_TEST(!servers.table.mayBeSent(serverOf(0), Start + 300s));
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(servers.choose(Start + 300s)->server.id == "i-1");
    }
    // The announcement holds as long as the server is listed.
    servers.table.noteAwake(Start + 2000s);
    servers.table.put(serverOf(0));
    BOOST_TEST(!servers.table.mayBeSent(serverOf(0), Start + 2000s));
}

BOOST_AUTO_TEST_CASE(noteAwake_processWasStalled_doesNotExtendTheBackoff)
{
    Servers servers(1);
    servers.table.noteAwake(Start);
    servers.table.noteBackoff(serverOf(0), 3s, Start);
    servers.table.noteAwake(Start + 10s);
    BOOST_TEST((servers.table.backoffLeft("i-0", Start + 10s) == kernel::Duration(0)));
}

BOOST_AUTO_TEST_CASE(choose_serversAskForBackoff_noneIsSentMoreThanItHasSlots)
{
    Servers servers(2);
    const auto fill = [&](const std::string &id, int requests) {
        for (int request = 0; request < requests; ++request) {
            servers.table.begin(id, nullptr, Start);
        }
    };
    fill("i-0", 8);
    fill("i-1", 8);
    BOOST_TEST(servers.choose(Start).has_value());
    servers.table.noteBackoff(serverOf(0), 300ms, Start);
    BOOST_TEST(!servers.choose(Start).has_value());
    BOOST_TEST(!servers.table.allBackingOff(servers.requirements, Start));
    servers.table.end("i-1");
    BOOST_TEST(servers.choose(Start)->server.id == "i-1");
    fill("i-1", 1);
    BOOST_TEST(!servers.choose(Start + 59s).has_value());
    servers.table.noteAwake(Start + 60s);
    BOOST_TEST(servers.choose(Start + 60s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
