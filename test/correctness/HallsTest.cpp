// Tests several halls: a request whose own hall has no place runs in another hall, and a hall that
// is cut off continues to serve.

#include "services/ConfigService.h"
#include "services/OwnerService.h"
#include "services/PermitService.h"
#include "services/SpillService.h"
#include "support/Fleet.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
namespace asio = boost::asio;
using support::Fleet;
using support::Turn;

namespace {

std::size_t inFlightAt(Fleet &fleet, std::size_t router)
{
    std::size_t sum = 0;
    for (const auto &backend :
         fleet.context(router).kernel.find<services::OwnerService>("owner").view().backends) {
        sum += backend.state.inFlight;
    }
    return sum;
}

const membership::ShortHash SmallModel = membership::shortHash(kernel::hashOf("small"));

/** Asks the other halls for a place, as the first router does when its own hall has none. */
tl::expected<services::Permit, services::PermitRefusal> acquireFromOtherHalls(Fleet &fleet)
{
    const services::EngineRequirements need{.organisation = 1, .chat = 2, .model = SmallModel};
    tl::expected<services::Permit, services::PermitRefusal> result;
    fleet.await([&]() -> asio::awaitable<void> {
        auto &spill = fleet.context(0).kernel.find<services::SpillService>("spill");
        result = co_await spill.acquire(need);
    });
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HallsTest)

BOOST_AUTO_TEST_CASE(spill_ownHallHasNoEngine_runsElsewhereAndLeavesNoPermit)
{
    Fleet fleet;
    fleet.routers("hall-a", 1).engines("hall-b", 2).routers("hall-b", 2);
    fleet.start();
    const auto served = [&] { return fleet.chat(0, Turn{.chat = "c"}).whole; };
    BOOST_TEST(fleet.until(served));
    const auto answer = fleet.chat(0, Turn{.chat = "c"});
    BOOST_TEST(answer.engine.starts_with("hall-b"));
    BOOST_TEST(answer.route == "spilled");
    BOOST_TEST(fleet.until([&] { return inFlightAt(fleet, 1) + inFlightAt(fleet, 2) == 0; }));
    BOOST_TEST(fleet.context(1).kernel.find<services::PermitService>("permits").held() == 0U);
}

BOOST_AUTO_TEST_CASE(spill_ownHallIsFull_excessRunsElsewhere)
{
    Fleet fleet;
    fleet.engines("hall-a", 1).routers("hall-a", 1).engines("hall-b", 3).routers("hall-b", 1);
    fleet.start();
    BOOST_TEST(fleet.set(0, "pool:small", "slots", "2").status == 200);
    BOOST_TEST(fleet.until([&] {
        return !fleet.context(0)
                        .kernel.find<services::OwnerService>("owner")
                        .view()
                        .backends.empty();
    }));
    int whole = 0;
    int servedElsewhere = 0;
    fleet.forEach(6, 6, [&](int number) -> asio::awaitable<void> {
        const Turn turn{.chat = "c" + std::to_string(number), .tokens = 100};
        const auto answer = co_await fleet.chatAsync(0, turn);
        whole += answer.whole ? 1 : 0;
        servedElsewhere += answer.engine.starts_with("hall-b") ? 1 : 0;
    });
    BOOST_TEST(whole == 6);
    BOOST_TEST(servedElsewhere == 4);
}

BOOST_AUTO_TEST_CASE(spill_noOtherHall_isRefusedAsFull)
{
    Fleet fleet;
    fleet.engines("hall-a", 1).routers("hall-a", 1);
    fleet.start();
    BOOST_TEST(fleet.set(0, "pool:small", "slots", "1").status == 200);
    std::vector<support::CallerAnswer> answers;
    fleet.forEach(3, 3, [&](int number) -> asio::awaitable<void> {
        const Turn turn{.chat = "c" + std::to_string(number), .tokens = 100};
        answers.push_back(co_await fleet.chatAsync(0, turn));
    });
    BOOST_TEST(std::ranges::count(answers, true, &support::CallerAnswer::whole) == 1);
    BOOST_TEST(std::ranges::count(answers, std::string("202"), &support::CallerAnswer::resultCode)
               == 2);
}

// The refusing engine runs no requests and so has the lowest load: without the exclusion the other
// hall would choose it again and again.
BOOST_AUTO_TEST_CASE(spill_engineElsewhereRefusesTheChat_anotherOneThereServesIt)
{
    Fleet fleet;
    fleet.routers("hall-a", 1).engines("hall-b", 2).routers("hall-b", 1);
    fleet.start();
    BOOST_TEST(fleet.until([&] { return fleet.chat(0, Turn{}).whole; }));
    fleet.engine(0).faults.refuseFull = 100000;
    for (int chat = 0; chat < 10; ++chat) {
        const auto answer = fleet.chat(0, Turn{.chat = "c" + std::to_string(chat)});
        BOOST_TEST(answer.whole);
        BOOST_TEST(answer.engine == "hall-b-engine-1");
    }
}

// The other hall's reason is passed on: a hall without a working engine isn't full.
BOOST_AUTO_TEST_CASE(spill_otherHallsEngineIsDown_isRefusedWithNoEngine)
{
    Fleet fleet;
    fleet.routers("hall-a", 1).engines("hall-b", 1).routers("hall-b", 1);
    fleet.start();
    BOOST_TEST(fleet.until([&] { return fleet.chat(0, Turn{}).whole; }));
    fleet.takeDown(0);
    BOOST_TEST(fleet.until([&] {
        auto &owner = fleet.context(1).kernel.find<services::OwnerService>("owner");
        return !owner.view().backends.at(0).open();
    }));
    const auto permit = acquireFromOtherHalls(fleet);
    BOOST_REQUIRE(!permit.has_value());
    BOOST_TEST((permit.error().code == outcome::ResultCode::NoEngine));
}

BOOST_AUTO_TEST_CASE(spill_otherHallsEngineIsFull_isRefusedAsFull)
{
    Fleet fleet;
    fleet.routers("hall-a", 1).engines("hall-b", 1).routers("hall-b", 1);
    fleet.start();
    BOOST_TEST(fleet.set(0, "pool:small", "slots", "1").status == 200);
    BOOST_TEST(fleet.until([&] {
        const auto &config = fleet.context(1).kernel.find<services::ConfigService>("config");
        return config.effective().poolOfModelHash(SmallModel)->slots == 1;
    }));
    BOOST_TEST(fleet.until([&] { return acquireFromOtherHalls(fleet).has_value(); }));
    const auto permit = acquireFromOtherHalls(fleet);
    BOOST_REQUIRE(!permit.has_value());
    BOOST_TEST((permit.error().code == outcome::ResultCode::EnginesFull));
}

BOOST_AUTO_TEST_CASE(spill_forbiddenForThePool_isRefusedAtOnce)
{
    Fleet fleet;
    fleet.routers("hall-a", 1).engines("hall-b", 1).routers("hall-b", 1);
    fleet.start();
    BOOST_TEST(fleet.set(0, "pool:small", "spill", "false").status == 200);
    const auto answer = fleet.chat(0, Turn{});
    BOOST_TEST(answer.resultCode == "204");
    BOOST_TEST(!answer.retryAfter.empty());
}

BOOST_AUTO_TEST_CASE(spill_askingBoxDies_placeIsFreeAgainAfterTheLease)
{
    Fleet fleet;
    fleet.routers("hall-a", 1).engines("hall-b", 1).routers("hall-b", 1);
    fleet.start();
    BOOST_TEST(fleet.until([&] { return fleet.chat(0, Turn{}).whole; }));
    services::EngineRequirements need{
            .organisation = 1, .chat = 2, .model = membership::shortHash(kernel::hashOf("small"))};
    fleet.await([&]() -> asio::awaitable<void> {
        const auto permit =
                co_await fleet.context(0).kernel.find<services::SpillService>("spill").acquire(
                        need);
        BOOST_TEST(permit.has_value());
    });
    BOOST_TEST(inFlightAt(fleet, 1) == 1U);
    fleet.kill(0);
    BOOST_TEST(fleet.until([&] { return inFlightAt(fleet, 1) == 0; }));
}

BOOST_AUTO_TEST_CASE(hall_cutOffFromPlatformAndOtherHalls_continuesServing)
{
    Fleet fleet;
    fleet.engines("hall-a", 2)
            .serviceRunners("hall-a", 1, "calendar")
            .routers("hall-a", 2)
            .engines("hall-b", 1)
            .routers("hall-b", 1);
    fleet.start();
    fleet.platform().faults.down = true;
    fleet.kill(2);
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(fleet.chat(static_cast<std::size_t>(turn % 2),
                              Turn{.chat = "c" + std::to_string(turn)})
                           .whole);
    }
    http::Request request("POST", "/v1/services/calendar/x",
                          http::Fields().with("Authorization", "Bearer key-of-the-hauler-a"), "x");
    BOOST_TEST(fleet.call(0, request).resultCode == "0");
}

BOOST_AUTO_TEST_SUITE_END()
