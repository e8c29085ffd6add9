// Settings updates by operators take effect on all boxes and are never reverted, whatever faults
// the platform has meanwhile.

#include "services/ConfigService.h"
#include "support/Fleet.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using nlohmann::json;
using support::Fleet;

namespace {

struct SettingsFixture
{
    SettingsFixture()
    {
        fleet.engines("hall-a", 1).engines("hall-b", 1).routers("hall-a", 3).routers("hall-b", 2);
        fleet.start();
    }

    std::uint64_t revision(std::size_t router)
    {
        return fleet.context(router)
                .kernel.find<services::ConfigService>("config")
                .installed()
                .revision();
    }

    bool allAt(std::uint64_t wanted)
    {
        for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
            if (fleet.alive(router) && revision(router) != wanted) {
                return false;
            }
        }
        return true;
    }

    std::string priority(std::size_t router)
    {
        const auto &tree = fleet.context(router)
                                   .kernel.find<services::ConfigService>("config")
                                   .installed()
                                   .tree();
        return config::effective(tree, "/accra", "priority").value;
    }

    http::Answer setAt(std::size_t router, std::uint64_t base, const std::string &key,
                       const std::string &value)
    {
        const json body = {
                {"base", base},
                {"changes", json::array({{{"path", "/accra"}, {"key", key}, {"value", value}}})}};
        return fleet.control(router, "POST", "/v1/settings", body.dump());
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SettingsFlowTest, SettingsFixture)

BOOST_AUTO_TEST_CASE(update_accepted_isInForceOnEveryBoxOfEveryHall)
{
    BOOST_TEST(fleet.set(0, "/accra", "priority", "7").status == 200);
    BOOST_TEST(fleet.until([this] { return allAt(2); }));
    BOOST_TEST(priority(4) == "7");
}

BOOST_AUTO_TEST_CASE(update_breakingTheRules_isRefusedWithPlaceAndReason)
{
    const auto answer = fleet.set(0, "/accra", "priority", "99");
    BOOST_TEST(answer.status == 422);
    BOOST_TEST(answer.body.find("/accra priority: found '99', allowed is 0 to 9")
               != std::string::npos);
    BOOST_TEST(allAt(1));
}

BOOST_AUTO_TEST_CASE(update_twoOperatorsOnTheSameKey_oneGetsAConflictThatNamesBoth)
{
    BOOST_TEST(setAt(0, 1, "priority", "3").status == 200);
    const auto second = setAt(3, 1, "priority", "8");
    BOOST_TEST(second.status == 409);
    BOOST_TEST(second.body.find("yours: /accra priority = 8; theirs: /accra priority = 3, by olga")
               != std::string::npos);
    BOOST_TEST(fleet.until([this] { return allAt(2); }));
    BOOST_TEST(priority(3) == "3");
}

BOOST_AUTO_TEST_CASE(update_twoOperatorsOnDifferentKeys_bothAreAccepted)
{
    BOOST_TEST(setAt(0, 1, "priority", "3").status == 200);
    BOOST_TEST(setAt(3, 1, "max-in-flight", "44").status == 200);
    BOOST_TEST(fleet.until([this] { return allAt(3); }));
}

BOOST_AUTO_TEST_CASE(update_answerOfThePlatformLost_isAppliedOnce)
{
    for (int lost = 1; lost <= 2; ++lost) {
        fleet.platform().faults.loseAnswers = lost;
        BOOST_TEST(fleet.set(0, "/accra", "priority", std::to_string(lost)).status == 200);
        fleet.platform().faults.loseAnswers = 0;
        BOOST_TEST(fleet.until([&] { return allAt(1 + static_cast<std::uint64_t>(lost)); }));
    }
    const json tree = json::parse(fleet.control(1, "GET", "/v1/settings").body);
    BOOST_TEST(tree["history"].size() == 3U);
}

BOOST_AUTO_TEST_CASE(update_writesDropped_isTriedAgain)
{
    fleet.platform().faults.loseWrites = 2;
    BOOST_TEST(fleet.set(0, "/accra", "priority", "6").status == 200);
    BOOST_TEST(fleet.until([this] { return allAt(2); }));
}

BOOST_AUTO_TEST_CASE(update_platformDown_isRefusedAndTheOldSettingsStayInForce)
{
    fleet.platform().faults.down = true;
    BOOST_TEST(fleet.set(0, "/accra", "priority", "6").status >= 500);
    BOOST_TEST(allAt(1));
}

BOOST_AUTO_TEST_CASE(platform_restoredToOldData_newerTreeIsWrittenBack)
{
    fleet.platform().keep();
    BOOST_TEST(fleet.set(0, "/accra", "priority", "7").status == 200);
    BOOST_TEST(fleet.until([this] { return allAt(2); }));
    fleet.platform().restore();
    const auto repaired = [this] {
        const auto answer = http::Request("GET", "/v1/objects/settings/tree");
        bool same = false;
        fleet.await([&]() -> boost::asio::awaitable<void> {
            const auto read =
                    co_await http::call(fleet.io(), fleet.context(0).settings.platform, answer, {});
            same = read && json::parse(read->body)["revision"] == 2;
        });
        return same;
    };
    BOOST_TEST(fleet.until(repaired));
    BOOST_TEST(allAt(2));
    BOOST_TEST(fleet.set(4, "/accra", "priority", "8").status == 200);
    BOOST_TEST(fleet.until([this] { return allAt(3); }));
}

BOOST_AUTO_TEST_CASE(platform_staleReads_noBoxRevertsToAnOlderRevision)
{
    BOOST_TEST(fleet.set(0, "/accra", "priority", "7").status == 200);
    BOOST_TEST(fleet.until([this] { return allAt(2); }));
    fleet.control(0, "GET", "/v1/status");
    fleet.platform().faults.staleReads = true;
    for (int period = 0; period < 30; ++period) {
        fleet.until([] { return false; }, 20ms);
        BOOST_TEST(allAt(2));
    }
}

BOOST_AUTO_TEST_CASE(router_replacedDuringAnOutage_getsTheSettingsFromAPeer)
{
    BOOST_TEST(fleet.set(0, "/accra", "priority", "7").status == 200);
    BOOST_TEST(fleet.until([this] { return allAt(2); }));
    fleet.kill(1);
    fleet.platform().faults.down = true;
    // The router finds its peers through its own settings, as the platform can't be reached.
    auto &peers = fleet.settingsOf(1).knownBoxes;
    peers.push_back({fleet.settingsOf(0).box, fleet.settingsOf(0).peer});
    fleet.revive(1);
    BOOST_TEST(fleet.until([this] { return revision(1) == 2; }));
}

BOOST_AUTO_TEST_CASE(router_withoutSettings_refusesRequestsAndIsNotReady)
{
    Fleet empty;
    empty.tree("").engines("hall-a", 1).routers("hall-a", 1);
    empty.start();
    const auto answer = empty.chat(0, support::Turn{});
    BOOST_TEST(answer.resultCode == "200");
    BOOST_TEST(answer.ran == "not-run");
    BOOST_TEST(empty.call(0, {"GET", "/readyz"}).status == 503);
}

BOOST_AUTO_TEST_CASE(status_afterAnUpdate_namesEveryBoxAndItsRevision)
{
    BOOST_TEST(fleet.set(0, "/accra", "priority", "7").status == 200);
    const auto complete = [this] {
        const json status = json::parse(fleet.control(0, "GET", "/v1/settings/status").body);
        std::size_t updatedBoxes = 0;
        for (const auto &[hall, boxes] : status["halls"].items()) {
            for (const auto &[box, boxRevision] : boxes.items()) {
                updatedBoxes += boxRevision == 2 ? 1 : 0;
            }
        }
        return updatedBoxes == 5;
    };
    BOOST_TEST(fleet.until(complete));
}

BOOST_AUTO_TEST_SUITE_END()
