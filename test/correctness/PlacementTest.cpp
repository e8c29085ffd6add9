// Fenced leases and the orders of the planner: the last ready copy stays, changes are damped.

#include "placement/FencedLease.h"
#include "placement/LeaseJson.h"
#include "placement/Planner.h"
#include "services/PlacementService.h"
#include "support/Fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;
using kernel::Instant;
using placement::EngineView;
using placement::FencedLease;
using placement::LeaseRecord;
using placement::ModelDemand;
using placement::Order;
using placement::OrderKind;
using placement::Planner;

namespace {

Instant at(std::chrono::milliseconds sinceStart)
{
    return Instant(kernel::Duration(3600s) + sinceStart);
}

constexpr placement::LeasePolicy Lease{.length = 15s, .renewEvery = 5s, .guard = 10s};

/** The platform's object, and boxes that may be paused between any two steps. */
struct SharedLease
{
    std::optional<LeaseRecord> record;
    std::vector<FencedLease> boxes{{Lease, "a"}, {Lease, "b"}, {Lease, "c"}};
};

EngineView engine(const std::string &name, std::map<std::string, bool> models,
                  std::uint32_t inFlight = 0)
{
    return {.name = name,
            .usable = true,
            .modelCapacity = 1,
            .models = std::move(models),
            .inFlight = inFlight};
}

constexpr placement::PlanPolicy Plan{
        .highMark = 0.7, .lowMark = 0.3, .sustained = 20s, .loadsAtOnce = 2};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementTest)

BOOST_AUTO_TEST_CASE(lease_randomPausesAndLostAnswers_neverTwoHoldersAtOnce)
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::mt19937_64 random(seed);
        SharedLease shared;
        Instant now = at(0ms);
        std::uint64_t maxToken = 0;
        for (int step = 0; step < 400; ++step) {
            FencedLease &box = shared.boxes[random() % shared.boxes.size()];
            // The read returns the record of some moment during the call.
            const auto read = shared.record;
            now += kernel::Duration(random() % 4000000);
            box.onRead(read, now);
            const auto wanted = box.toWrite(now);
            if (wanted) {
                box.onSend(*wanted, now);
                now += kernel::Duration(random() % 1000000);
                const bool arrives = random() % 6 != 0;
                if (arrives) {
                    shared.record = wanted;
                    now += kernel::Duration(random() % 1000000);
                }
                if (arrives && random() % 4 != 0) {
                    box.onWritten();
                }
            }
            int holders = 0;
            for (const FencedLease &each : shared.boxes) {
                if (const auto token = each.tokenFor(true, now)) {
                    ++holders;
                    BOOST_TEST(*token >= maxToken);
                    maxToken = *token;
                }
            }
            BOOST_TEST(holders <= 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(lease_holderPausedPastItsLease_maySendNoOrder)
{
    FencedLease paused(Lease, "a");
    paused.onRead(std::nullopt, at(0ms));
    paused.onSend(*paused.toWrite(at(0ms)), at(0ms));
    paused.onWritten();
    BOOST_TEST(paused.tokenFor(true, at(14999ms)).has_value());
    BOOST_TEST(!paused.tokenFor(true, at(15s)).has_value());
}

BOOST_AUTO_TEST_CASE(lease_newHolder_waitsForGuardIfServersDontCheckTokens)
{
    FencedLease box(Lease, "b");
    box.onRead(LeaseRecord{"a", 4, 9}, at(0ms));
    BOOST_TEST(!box.toWrite(at(14999ms)).has_value());
    const auto taken = box.toWrite(at(15s));
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST(taken->token == 5U);
    box.onSend(*taken, at(15s));
    box.onWritten();
    BOOST_TEST(box.tokenFor(true, at(15s)).has_value());
    BOOST_TEST(!box.tokenFor(false, at(24999ms)).has_value());
    BOOST_TEST(box.tokenFor(false, at(25s)).has_value());
}

BOOST_AUTO_TEST_CASE(lease_ownExpired_isTakenWithANewToken)
{
    FencedLease box(Lease, "a");
    box.onRead(std::nullopt, at(0ms));
    box.onSend(*box.toWrite(at(0ms)), at(0ms));
    box.onWritten();
    const auto renewed = box.toWrite(at(20s));
    BOOST_REQUIRE(renewed.has_value());
    BOOST_TEST(renewed->token == 2U);
}

BOOST_AUTO_TEST_CASE(leaseJson_anyText_neverThrows)
{
    const LeaseRecord record{"a/7", 3, 4};
    BOOST_TEST((placement::leaseFromJson(placement::toJson(record)) == record));
    for (const char *text : {"", "{}", "[]", R"({"holder":1,"token":2,"renewal":3})"}) {
        BOOST_TEST(!placement::leaseFromJson(text).has_value());
    }
}

BOOST_AUTO_TEST_CASE(plan_modelWithoutCopies_isLoadedAtOnceOnTheEmptiestEngine)
{
    Planner planner(Plan);
    const auto orders = planner.plan({engine("e1", {{"a", true}}), engine("e2", {})},
                                     {{.model = "b"}}, at(0ms));
    BOOST_TEST((orders == std::vector<Order>{{OrderKind::Load, "e2", "b"}}));
}

BOOST_AUTO_TEST_CASE(plan_highDemand_addsACopyOnlyOnceSustained)
{
    Planner planner(Plan);
    const std::vector<EngineView> engines = {engine("e1", {{"a", true}}), engine("e2", {})};
    const std::vector<ModelDemand> busy = {
            {.model = "a", .inFlight = 9, .minCopies = 1, .slots = 10}};
    const std::vector<ModelDemand> quiet = {
            {.model = "a", .inFlight = 5, .minCopies = 1, .slots = 10}};
    BOOST_TEST(planner.plan(engines, busy, at(0s)).empty());
    BOOST_TEST(planner.plan(engines, busy, at(19s)).empty());
    BOOST_TEST(planner.plan(engines, quiet, at(20s)).empty());
    BOOST_TEST(planner.plan(engines, busy, at(21s)).empty());
    BOOST_TEST(planner.plan(engines, busy, at(41s)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(plan_idleCopiesAndCapacityNotNeeded_areKept)
{
    Planner planner(Plan);
    const std::vector<EngineView> engines = {
            engine("e1", {{"a", true}}), engine("e2", {{"a", true}}), engine("e3", {{"a", true}})};
    const std::vector<ModelDemand> idle = {
            {.model = "a", .inFlight = 0, .minCopies = 1, .slots = 10}};
    for (int second = 0; second < 200; ++second) {
        BOOST_TEST(planner.plan(engines, idle, at(std::chrono::seconds(second))).empty());
    }
}

BOOST_AUTO_TEST_CASE(plan_newModelAndNoCapacity_unloadsTheLeastUsedSpareCopy)
{
    Planner planner(Plan);
    const std::vector<EngineView> engines = {engine("e1", {{"a", true}}, 3),
                                             engine("e2", {{"a", true}}, 1),
                                             engine("e3", {{"b", true}})};
    const std::vector<ModelDemand> demands = {
            {.model = "a", .inFlight = 2, .minCopies = 1, .slots = 10},
            {.model = "b", .inFlight = 0, .minCopies = 1, .slots = 10},
            {.model = "c", .inFlight = 0, .minCopies = 1, .slots = 10}};
    BOOST_TEST((planner.plan(engines, demands, at(0ms))
                == std::vector<Order>{{OrderKind::Unload, "e2", "a"}}));
}

BOOST_AUTO_TEST_CASE(plan_lastReadyCopy_isNeverUnloaded)
{
    Planner planner(Plan);
    const std::vector<EngineView> engines = {engine("e1", {{"a", true}}),
                                             engine("e2", {{"a", false}})};
    const std::vector<ModelDemand> idle = {
            {.model = "a", .inFlight = 0, .minCopies = 0, .slots = 10}};
    for (int second = 0; second < 200; ++second) {
        BOOST_TEST(planner.plan(engines, idle, at(std::chrono::seconds(second))).empty());
    }
}

BOOST_AUTO_TEST_CASE(plan_manyModelsMissing_limitsLoadsInProgress)
{
    Planner planner(Plan);
    std::vector<EngineView> engines;
    std::vector<ModelDemand> demands;
    for (int index = 0; index < 10; ++index) {
        engines.push_back(engine("e" + std::to_string(index), {}));
        demands.push_back({.model = "m" + std::to_string(index)});
    }
    engines[0].models["m0"] = false;
    BOOST_TEST(planner.plan(engines, demands, at(0ms)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(plan_randomHistories_keepEveryReadyModelReadyAndConverge)
{
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        std::mt19937_64 random(seed);
        Planner planner(Plan);
        std::vector<EngineView> engines;
        for (int index = 0; index < 8; ++index) {
            engines.push_back(engine("e" + std::to_string(index), {}));
        }
        std::vector<ModelDemand> demands;
        for (int index = 0; index < 3; ++index) {
            demands.push_back({.model = "m" + std::to_string(index),
                               .inFlight = double(random() % 30),
                               .minCopies = 1,
                               .slots = 10});
        }
        std::size_t lastChange = 0;
        for (std::size_t second = 0; second < 600; second += 5) {
            for (const Order &order :
                 planner.plan(engines, demands, at(std::chrono::seconds(second)))) {
                auto position = std::ranges::find(engines, order.engine, &EngineView::name);
                if (order.kind == OrderKind::Load) {
                    position->models[order.model] = false;
                } else {
                    position->models.erase(order.model);
                    const auto ready = std::ranges::count_if(engines, [&](const EngineView &each) {
                        const auto held = each.models.find(order.model);
                        return held != each.models.end() && held->second;
                    });
                    BOOST_TEST(ready >= 1);
                }
                lastChange = second;
            }
            for (EngineView &each : engines) {
                for (auto &[model, ready] : each.models) {
                    ready = true;
                }
                BOOST_TEST(each.models.size() <= each.modelCapacity);
            }
        }
        // With steady demand the plan stops changing.
        BOOST_TEST(lastChange < 400U);
    }
}

BOOST_AUTO_TEST_CASE(service_modelMissing_isLoadedByOneHolderWithItsToken)
{
    support::Fleet fleet;
    fleet.engines("hall-a", 1, {"small"}).engines("hall-a", 1, {}).routers("hall-a", 2);
    fleet.start();
    BOOST_TEST(fleet.set(0, "pool:big", "models", "big").status == 200);
    const auto loaded = [&] {
        return fleet.engine(0).models().contains("big") || fleet.engine(1).models().contains("big");
    };
    BOOST_TEST(fleet.until(loaded));
    BOOST_TEST(fleet.engine(0).token() + fleet.engine(1).token() >= 1U);
    const auto served = [&] { return fleet.chat(0, support::Turn{.model = "big"}).whole; };
    BOOST_TEST(fleet.until(served));
}

BOOST_AUTO_TEST_CASE(service_holderDies_otherTakesOverWithAGreaterToken)
{
    support::Fleet fleet;
    fleet.engines("hall-a", 2, {"small"}).routers("hall-a", 2);
    fleet.start();
    const auto holds = [&](std::size_t router) {
        return fleet.alive(router)
               && fleet.context(router)
                          .kernel.find<services::PlacementService>("placement")
                          .holds();
    };
    BOOST_TEST(fleet.until([&] { return holds(0) || holds(1); }));
    const std::size_t holder = holds(0) ? 0 : 1;
    fleet.kill(holder);
    BOOST_TEST(fleet.until([&] { return holds(1 - holder); }));
    BOOST_TEST(fleet.set(1 - holder, "pool:big", "models", "big").status == 200);
    BOOST_TEST(fleet.until(
            [&] { return fleet.engine(0).token() >= 2 || fleet.engine(1).token() >= 2; }));
}

BOOST_AUTO_TEST_CASE(service_platformUnreachable_leaseExpires)
{
    support::Fleet fleet;
    fleet.engines("hall-a", 2, {"small"}).routers("hall-a", 1);
    fleet.start();
    auto &placement = fleet.context(0).kernel.find<services::PlacementService>("placement");
    BOOST_TEST(fleet.until([&] { return placement.holds(); }));
    fleet.platform().faults.down = true;
    BOOST_TEST(fleet.until([&] { return !placement.holds(); }));
}

BOOST_AUTO_TEST_SUITE_END()
