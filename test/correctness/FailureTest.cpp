// Tests that chats continue while boxes and engines fail, leave and return.

#include "services/OwnerService.h"
#include "services/PermitService.h"
#include "support/Fleet.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace limereel;
namespace asio = boost::asio;
using support::CallerAnswer;
using support::Fleet;
using support::Turn;

namespace {

struct FailureFixture
{
    FailureFixture()
    {
        fleet.engines("hall-a", 6).routers("hall-a", 3);
        fleet.start();
    }

    asio::awaitable<void> pause(kernel::Duration duration)
    {
        asio::steady_timer timer(fleet.io(), duration);
        co_await timer.async_wait(asio::use_awaitable);
    }

    /** Whether no permit is held and every box knows that. A caller gets its answer before the
     * permit is back at its owner. */
    bool noPermitHeld()
    {
        for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
            auto &kernel = fleet.context(router).kernel;
            std::size_t busy = kernel.find<services::PermitService>("permits").held();
            for (const auto &backend :
                 kernel.find<services::OwnerService>("owner").view().backends) {
                busy += backend.state.inFlight;
            }
            if (busy > 0) {
                return false;
            }
        }
        return true;
    }

    /** Runs a turn of a chat while no permit is held, so that only the chat's own history decides
     * where it runs. \return the engine. */
    std::string engineOf(std::size_t router, const std::string &chat)
    {
        BOOST_TEST(fleet.until([this] { return noPermitHeld(); }));
        return fleet.chat(router, Turn{.chat = chat}).engine;
    }

    bool openAt(std::size_t router, std::size_t engine)
    {
        auto &owner = fleet.context(router).kernel.find<services::OwnerService>("owner");
        return owner.view().backends.at(engine).open();
    }

    Fleet fleet;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FailureTest, FailureFixture)

BOOST_AUTO_TEST_CASE(owner_diesUnderLoad_noChatOfAnotherRouterFails)
{
    int whole = 0;
    constexpr int Count = 120;
    fleet.forEach(Count, 8, [&](int number) -> asio::awaitable<void> {
        if (number == 40) {
            fleet.kill(2);
        }
        const Turn turn{.chat = "c" + std::to_string(number % 30)};
        const auto answer = co_await fleet.chatAsync(static_cast<std::size_t>(number % 2), turn);
        whole += answer.whole ? 1 : 0;
    });
    BOOST_TEST(whole == Count);
}

BOOST_AUTO_TEST_CASE(engine_refusesAll_chatsRunElsewhere)
{
    fleet.engine(3).faults.refuseFull = 100000;
    int whole = 0;
    fleet.forEach(60, 6, [&](int number) -> asio::awaitable<void> {
        const Turn turn{.chat = "c" + std::to_string(number)};
        const auto answer = co_await fleet.chatAsync(static_cast<std::size_t>(number % 3), turn);
        whole += answer.whole ? 1 : 0;
    });
    BOOST_TEST(whole == 60);
    BOOST_TEST(fleet.engine(3).runs().empty());
}

BOOST_AUTO_TEST_CASE(engine_downAndBack_chatStaysOnTheEngineItMovedTo)
{
    // Enough chats that each engine, and so also the one that goes down, is the first choice of
    // some.
    std::map<std::string, std::string> before;
    for (int chat = 0; chat < 24; ++chat) {
        const std::string name = "c" + std::to_string(chat);
        before[name] = engineOf(0, name);
    }
    const std::size_t downEngine = 0;
    fleet.takeDown(downEngine);
    BOOST_TEST(fleet.until([&] {
        return !openAt(0, downEngine) && !openAt(1, downEngine) && !openAt(2, downEngine);
    }));
    std::map<std::string, std::string> movedTo;
    for (const auto &[name, engine] : before) {
        movedTo[name] = engineOf(1, name);
    }
    fleet.bringBack(downEngine);
    BOOST_TEST(fleet.until([&] {
        return openAt(0, downEngine) && openAt(1, downEngine) && openAt(2, downEngine);
    }));
    for (const auto &[name, engine] : movedTo) {
        BOOST_TEST(engineOf(2, name) == engine);
    }
}

BOOST_AUTO_TEST_CASE(engine_reportsLeaving_getsNoNewRequestsAndRunningOnesFinish)
{
    CallerAnswer running;
    fleet.forEach(2, 2, [&](int number) -> asio::awaitable<void> {
        if (number == 0) {
            const Turn turn{.chat = "long", .tokens = 200};
            running = co_await fleet.chatAsync(0, turn);
            co_return;
        }
        std::size_t engine = 0;
        while (fleet.engine(engine).running() == 0) {
            engine = (engine + 1) % fleet.engineCount();
            co_await pause(1ms);
        }
        fleet.engine(engine).faults.leaving = true;
        while (openAt(0, engine) || openAt(1, engine) || openAt(2, engine)) {
            co_await pause(5ms);
        }
        const std::size_t before = fleet.engine(engine).runs().size();
        for (int chat = 0; chat < 30; ++chat) {
            const Turn turn{.chat = "n" + std::to_string(chat)};
            const auto answer = co_await fleet.chatAsync(static_cast<std::size_t>(chat % 3), turn);
            BOOST_TEST(answer.whole);
        }
        BOOST_TEST(fleet.engine(engine).runs().size() == before);
    });
    BOOST_TEST(running.whole);
}

BOOST_AUTO_TEST_CASE(engine_listedAsLeaving_getsNoNewRequests)
{
    fleet.listAsLeaving(2);
    BOOST_TEST(fleet.until([this] { return !openAt(0, 2) && !openAt(1, 2) && !openAt(2, 2); }));
    for (int chat = 0; chat < 30; ++chat) {
        BOOST_TEST(fleet.chat(static_cast<std::size_t>(chat % 3),
                              Turn{.chat = "n" + std::to_string(chat)})
                           .whole);
    }
    BOOST_TEST(fleet.engine(2).runs().empty());
}

BOOST_AUTO_TEST_CASE(engine_leavesWhilePlatformIsDown_allRoutersNotice)
{
    fleet.platform().faults.down = true;
    fleet.engine(1).faults.leaving = true;
    BOOST_TEST(fleet.until([this] { return !openAt(0, 1) && !openAt(1, 1) && !openAt(2, 1); }));
}

BOOST_AUTO_TEST_CASE(platform_downForLong_chatsContinue)
{
    fleet.platform().faults.down = true;
    int whole = 0;
    fleet.forEach(40, 4, [&](int number) -> asio::awaitable<void> {
        co_await pause(20ms);
        const Turn turn{.chat = "c" + std::to_string(number)};
        const auto answer = co_await fleet.chatAsync(static_cast<std::size_t>(number % 3), turn);
        whole += answer.whole ? 1 : 0;
    });
    BOOST_TEST(whole == 40);
}

BOOST_AUTO_TEST_CASE(router_plannedStop_cutsNoStreamAndServesWhileTheBalancerLags)
{
    int whole = 0;
    CallerAnswer late;
    fleet.forEach(5, 5, [&](int number) -> asio::awaitable<void> {
        if (number < 4) {
            const Turn turn{.chat = "c" + std::to_string(number), .tokens = 250};
            const auto answer = co_await fleet.chatAsync(0, turn);
            whole += answer.whole ? 1 : 0;
            co_return;
        }
        co_await pause(50ms);
        http::Request leave(
                "POST", "/v1/leave",
                http::Fields().with("Authorization", "Bearer " + support::OperatorKeyText));
        co_await http::call(fleet.io(), fleet.context(0).settings.control, leave, {});
        // The balancer hasn't noticed the stop yet and still sends a request.
        const Turn turn{.chat = "late"};
        late = co_await fleet.chatAsync(0, turn);
    });
    BOOST_TEST(whole == 4);
    BOOST_TEST(late.whole);
    BOOST_TEST(fleet.until([this] { return !fleet.alive(0); }));
}

BOOST_AUTO_TEST_CASE(routers_restartedOneByOneUnderLoad_noRequestFails)
{
    constexpr int ServedBetween = 8;
    bool done = false;
    int served = 0;
    int failed = 0;
    fleet.forEach(4, 4, [&](int number) -> asio::awaitable<void> {
        if (number == 0) {
            for (std::size_t router = 0; router < fleet.routerCount(); ++router) {
                http::Request leave(
                        "POST", "/v1/leave",
                        http::Fields().with("Authorization", "Bearer " + support::OperatorKeyText));
                co_await http::call(fleet.io(), fleet.context(router).settings.control, leave, {});
                while (fleet.alive(router)) {
                    co_await pause(5ms);
                }
                fleet.revive(router);
                // The next router is restarted only after some more requests were served, however
                // slow the machine is.
                const int before = served;
                while (!fleet.settled() || served < before + ServedBetween) {
                    co_await pause(5ms);
                }
            }
            done = true;
            co_return;
        }
        int turnNumber = 0;
        while (!done) {
            ++turnNumber;
            // Stands in for the balancer, which sends only to routers that report ready.
            const auto router = static_cast<std::size_t>(turnNumber + number) % fleet.routerCount();
            http::Request ready("GET", "/readyz");
            const auto answer = co_await fleet.callAsync(router, ready);
            if (answer.status != 200) {
                co_await pause(5ms);
                continue;
            }
            const Turn turn{.chat = "c" + std::to_string(turnNumber % 20)};
            const auto chat = co_await fleet.chatAsync(router, turn);
            (chat.whole ? served : failed) += 1;
        }
    });
    BOOST_TEST(failed == 0);
    BOOST_TEST(static_cast<std::size_t>(served) >= ServedBetween * fleet.routerCount());
}

BOOST_AUTO_TEST_CASE(organisation_surgesTenfold_noEngineIsOverTheBoundAndOthersAreServed)
{
    int quietServed = 0;
    std::size_t worst = 0;
    std::size_t peak = 0;
    fleet.forEach(66, 66, [&](int number) -> asio::awaitable<void> {
        if (number == 0) {
            for (int sample = 0; sample < 300; ++sample) {
                std::size_t total = 0;
                for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
                    total += fleet.engine(engine).running();
                    worst = std::max(worst, fleet.engine(engine).running());
                }
                peak = std::max(peak, total);
                co_await pause(1ms);
            }
            co_return;
        }
        const bool quiet = number > 60;
        if (quiet) {
            co_await pause(100ms);
        }
        const Turn turn{.chat = "c" + std::to_string(number),
                        .key = quiet ? "key-of-the-hauler-b" : "key-of-the-hauler-a",
                        .tokens = quiet ? 4 : 60};
        const auto answer = co_await fleet.chatAsync(static_cast<std::size_t>(number % 3), turn);
        quietServed += quiet && answer.whole ? 1 : 0;
    });
    BOOST_TEST(quietServed == 5);
    BOOST_TEST_MESSAGE("worst engine " << worst << ", peak of the hall " << peak);
    BOOST_TEST(worst <= std::ceil(1.5 * static_cast<double>(peak + 1) / 6));
}

BOOST_AUTO_TEST_CASE(hall_partitioned_bothPartsServeAndEngineReportsKeepTheBound)
{
    fleet.cut(0, 2);
    fleet.cut(1, 2);
    const auto ownsAllEngines = [this] {
        return fleet.context(2).kernel.find<services::OwnerService>("owner").owned() == 6;
    };
    BOOST_TEST(fleet.until(ownsAllEngines));
    int whole = 0;
    int refused = 0;
    double worst = 0;
    constexpr int Count = 160;
    bool done = false;
    fleet.forEach(25, 25, [&](int worker) -> asio::awaitable<void> {
        if (worker == 24) {
            while (!done) {
                std::size_t total = 0;
                std::size_t greatest = 0;
                for (std::size_t engine = 0; engine < fleet.engineCount(); ++engine) {
                    total += fleet.engine(engine).running();
                    greatest = std::max(greatest, fleet.engine(engine).running());
                }
                if (total >= 18) {
                    worst = std::max(worst, static_cast<double>(greatest) * 6
                                                    / static_cast<double>(total));
                }
                co_await pause(2ms);
            }
            co_return;
        }
        for (int chat = worker; chat < Count; chat += 24) {
            // An owner that doesn't see the other part's load may refuse at once. A caller that
            // tries again as advised must be served in the end, and get no other errors before
            // that.
            const Turn turn{.chat = "c" + std::to_string(chat), .tokens = 60};
            auto answer = co_await fleet.chatAsync(static_cast<std::size_t>(chat % 3), turn);
            for (int again = 0; again < 100 && answer.resultCode == "202"; ++again) {
                BOOST_TEST(answer.ran == "not-run");
                BOOST_TEST(!answer.retryAfter.empty());
                ++refused;
                co_await pause(50ms);
                answer = co_await fleet.chatAsync(static_cast<std::size_t>(chat % 3), turn);
            }
            whole += answer.whole ? 1 : 0;
        }
        done = done || worker == 23;
    });
    BOOST_TEST(whole == Count);
    BOOST_TEST_MESSAGE("worst engine "
                       << worst << " times the mean while two boxes own each engine, " << refused
                       << " refusals of " << Count);
    fleet.cut(0, 2, false);
    fleet.cut(1, 2, false);
    BOOST_TEST(fleet.until([this] { return fleet.settled(); }));
}

BOOST_AUTO_TEST_CASE(boxList_suddenlyEmpty_isIgnored)
{
    fleet.platform().setHall("hall-a", R"({"region":"here","boxes":[],"backends":[]})");
    BOOST_TEST(fleet.until(
            [this] { return fleet.context(0).counters.value("directory_doubted") > 0; }));
    for (int turn = 0; turn < 10; ++turn) {
        BOOST_TEST(fleet.chat(static_cast<std::size_t>(turn % 3),
                              Turn{.chat = "c" + std::to_string(turn)})
                           .whole);
    }
}

BOOST_AUTO_TEST_CASE(engineReport_lagsBehindALoadDrop_isNotCountedAsUnknownLoad)
{
    Fleet lagging;
    lagging.settings([](kernel::BoxSettings &settings) { settings.loadLag = 600ms; });
    lagging.loadLag(400ms).engines("hall-a", 1).routers("hall-a", 1);
    lagging.start();
    int whole = 0;
    lagging.forEach(8, 8, [&](int number) -> asio::awaitable<void> {
        const Turn turn{.chat = "c" + std::to_string(number), .tokens = 150};
        const auto answer = co_await lagging.chatAsync(0, turn);
        whole += answer.whole ? 1 : 0;
    });
    BOOST_TEST(whole == 8);
    auto &owner = lagging.context(0).kernel.find<services::OwnerService>("owner");
    BOOST_TEST(lagging.until([&] {
        return lagging.context(0).kernel.find<services::PermitService>("permits").held() == 0;
    }));
    // The engine goes on reporting the load of the burst for a while; none of it is unknown load.
    const std::uint64_t probes = lagging.context(0).counters.total("probes");
    std::uint32_t greatest = 0;
    const auto probedOften = [&] {
        greatest = std::max(greatest, owner.view().backends.front().state.inFlight);
        return lagging.context(0).counters.total("probes") >= probes + 6;
    };
    BOOST_TEST(lagging.until(probedOften));
    BOOST_TEST(greatest == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
