// What a backend server may be given, over a whole gateway: halls that the operator drains, servers
// that have just started or were born again, entries that another writer has spoilt, and requests
// that may run only in some regions.

#include "platform/GatewayFixture.h"

#include "gateway/FleetView.h"
#include "support/Ports.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;
using nlohmann::json;
using standin::RunnerFault;

namespace {

/** One runner in hall-a and one in hall-b, and halls that can be drained. */
class TwoHalls : public GatewayFixture
{
public:
    TwoHalls()
    {
        // Keys aren't the subject: on a busy machine they may go unconfirmed for seconds.
        moreSettings = "hall-drain-within = 5s\ncontact = 1s\nrefuse-unconfirmed-keys = false\n"
                       "cold-excess = 1.5\ncold-slack = 5\n"
                       "hall-regions = hall-a@north, hall-b@south\n";
    }

    void startWith(const json &spec)
    {
        putConfiguration(spec);
        for (std::size_t index = 0; index < 2; ++index) {
            store().put("servers", runner(index).name(), entry(index));
        }
        start();
        until([this] { return ready(); }, "readiness");
    }

    void startInTwoHalls() { startWith(configuration(1)); }

    json entry(std::size_t index) const
    {
        json made = entryOf(*runners_.at(index), "pool");
        made["zone"] = index == 0 ? "hall-a" : "hall-b";
        return made;
    }

    /** A configuration whose pool bears few requests at a cold server. */
    json coldConfiguration(double perSecond) const
    {
        json spec = configuration(1);
        spec["services"][0]["cold_start_s"] = 30.0;
        spec["services"][0]["cold_per_s"] = perSecond;
        return spec;
    }

    gateway::FleetView &world() { return context().kernel.find<gateway::FleetView>("world"); }

    bool takesWork(std::size_t index) { return world().servers().takesWork(runner(index).name()); }

    void drain(const std::string &hall) { store().put("evacuations", hall, json::object()); }

    int served(int requests)
    {
        int good = 0;
        for (int time = 0; time < requests; ++time) {
            good += call(request("POST", "/once/x")).status == 200 ? 1 : 0;
        }
        return good;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DrainedHallTest)

BOOST_FIXTURE_TEST_CASE(hallDrained_noRequestGoesThere_andOthersServe, TwoHalls)
{
    startInTwoHalls();
    drain("hall-a");
    until([this] { return !takesWork(0); }, "the drain");
    BOOST_TEST(served(6) == 6);
    BOOST_TEST(call(promptRequest("/resume/x")).status == 200);
    BOOST_TEST(runner(0).records().empty());
}

BOOST_FIXTURE_TEST_CASE(hallDrainedBeforeTheStart_noRequestGoesThere, TwoHalls)
{
    drain("hall-a");
    startInTwoHalls();
    until([this] { return !takesWork(0); }, "the drain");
    BOOST_TEST(served(6) == 6);
    BOOST_TEST(runner(0).records().empty());
}

BOOST_FIXTURE_TEST_CASE(hallDrained_requestThatRunsThereEndsByItself, TwoHalls)
{
    startInTwoHalls();
    drain("hall-b");
    until([this] { return !takesWork(1); }, "the drain");
    runner(0).pause = 20ms;
    const auto running = begin(promptRequest("/resume/x"));
    until([&] { return !running->answer.body.empty(); }, "the first event");
    drain("hall-a");
    until([this] { return !takesWork(0); }, "the drain of the other hall");
    BOOST_TEST(finish(running).whole);
    BOOST_TEST(runner(0).runs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(hallDrainedWhileAStreamIsResumed_itGoesOnElsewhere, TwoHalls)
{
    startInTwoHalls();
    drain("hall-b");
    until([this] { return !takesWork(1); }, "the drain");
    runner(0).pause = 1500ms;
    runner(0).faults = {RunnerFault::CutStream};
    const auto running = begin(promptRequest("/resume/x"));
    until([&] { return !running->answer.body.empty(); }, "the first event");
    store().remove("evacuations", "hall-b");
    drain("hall-a");
    until([this] { return !takesWork(0) && takesWork(1); }, "the drain of the other hall");
    runner(1).pause = 0ms;
    BOOST_TEST(finish(running).whole);
    BOOST_TEST(runner(1).runs() == 1U);
}

BOOST_FIXTURE_TEST_CASE(allHallsDrained_requestsAreRefusedAtOnceAsNotRun, TwoHalls)
{
    startInTwoHalls();
    drain("hall-a");
    drain("hall-b");
    until([this] { return !takesWork(0) && !takesWork(1); }, "the drains");
    const auto answer = call(request("POST", "/once/x"));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!answer.fields.get("Retry-After").empty());
    BOOST_TEST(runs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(drainTakenBack_hallServesAgainAndIsCold, TwoHalls)
{
    startWith(coldConfiguration(100));
    drain("hall-a");
    until([this] { return !takesWork(0); }, "the drain");
    store().remove("evacuations", "hall-a");
    until([this] { return takesWork(0); }, "the return");
    const auto state = [this](std::size_t index) {
        const auto server = world().servers().find(runner(index).name());
        return world().coldStarts().state(*server, context().now());
    };
    BOOST_TEST(state(0).cold());
    BOOST_TEST(!state(1).cold());
}

BOOST_FIXTURE_TEST_CASE(historyLostAndStoreAway_hallStaysDrained, TwoHalls)
{
    startInTwoHalls();
    drain("hall-a");
    until([this] { return !takesWork(0); }, "the drain");
    store().faults.status = 503;
    store().forgetHistory();
    until([this] { return world().feed("evacuations")->lastFailure().has_value(); }, "the outage");
    BOOST_TEST(!takesWork(0));
    store().faults.status = 0;
    drain("hall-b");
    until([this] { return !takesWork(1); }, "news after the outage");
    BOOST_TEST(!takesWork(0));
}

BOOST_FIXTURE_TEST_CASE(drainThatCannotBeRead_drainsNoHall, TwoHalls)
{
    startInTwoHalls();
    store().put("evacuations", "hall-b", json("what is this"));
    store().putSpoilt("evacuations", "x", json("not even an object"));
    drain("hall-a");
    until([this] { return !takesWork(0); }, "the drain");
    BOOST_TEST(takesWork(1));
    BOOST_TEST(context().counters.value("hall_drains_unreadable") >= 1U);
}

BOOST_FIXTURE_TEST_CASE(noBoundIsSet_drainsAreNotAskedFor, GatewayFixture)
{
    startReady();
    BOOST_TEST(context().kernel.find<gateway::FleetView>("world").feed("evacuations") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ColdServerTest)

BOOST_FIXTURE_TEST_CASE(serverSaysThatItIsCold_itGetsNoMoreThanItsShare, TwoHalls)
{
    startWith(coldConfiguration(2));
    json cold = entry(0);
    cold["cold_left_ms"] = 30000;
    store().put("servers", runner(0).name(), cold);
    until(
            [this] {
                const auto server = world().servers().find(runner(0).name());
                return world().coldStarts().state(*server, context().now()).cold();
            },
            "the word");
    BOOST_TEST(served(40) == 40);
    // 2 x 1.5 + 5 are allowed in each second; an owner alone stays below half of that.
    BOOST_TEST(runner(0).runs() + runner(1).runs() == 40U);
    BOOST_TEST(runner(0).runs() < 20U);
}

BOOST_FIXTURE_TEST_CASE(allServersAreCold_whatTheyDoNotBearIsRefusedAtOnceWithATime, TwoHalls)
{
    startWith(coldConfiguration(1));
    for (std::size_t index = 0; index < 2; ++index) {
        json cold = entry(index);
        cold["cold_left_ms"] = 30000;
        store().put("servers", runner(index).name(), cold);
    }
    until(
            [this] {
                const auto server = world().servers().find(runner(1).name());
                return world().coldStarts().state(*server, context().now()).cold();
            },
            "the word");
    int refused = 0;
    for (int time = 0; time < 30; ++time) {
        const auto answer = call(promptRequest("/stream/x"));
        if (answer.status != 200) {
            BOOST_TEST(answer.status == 503);
            BOOST_TEST(!answer.fields.get("Retry-After").empty());
            ++refused;
        }
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(runs() + static_cast<std::size_t>(refused) == 30U);
}

BOOST_FIXTURE_TEST_CASE(serverIsNew_itIsCold_andOneThatWasThereIsNot, TwoHalls)
{
    startWith(coldConfiguration(5));
    standin::RunnerStandin newcomer(io_, "i-three", freeEndpoint());
    store().put("servers", "i-three", entryOf(newcomer, "pool"));
    until([this] { return world().servers().find("i-three").has_value(); }, "the newcomer");
    const auto cold = [this](const std::string &id) {
        return world().coldStarts().state(*world().servers().find(id), context().now()).cold();
    };
    BOOST_TEST(cold("i-three"));
    BOOST_TEST(!cold(runner(0).name()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BornAgainTest)

namespace {

class Born : public TwoHalls
{
public:
    void putBorn(std::uint64_t born)
    {
        json made = entry(0);
        made["born"] = born;
        store().put("servers", runner(0).name(), made);
    }

    std::optional<std::uint64_t> born()
    {
        return world().servers().find(runner(0).name())->startNumber;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(sameIdBornAgain_whatWasKnownOfItIsForgotten, Born)
{
    startWith(coldConfiguration(50));
    putBorn(4);
    until([this] { return born() == 4U; }, "the first life");
    const auto before = *world().servers().find(runner(0).name());
    world().servers().setOthers(before.id, 17, context().now());
    putBorn(5);
    until([this] { return born() == 5U; }, "the second life");
    const auto after = *world().servers().find(runner(0).name());
    BOOST_TEST(before.hash() != after.hash());
    BOOST_TEST(world().servers().load(after.id, context().now()) == 0);
    BOOST_TEST(world().coldStarts().state(after, context().now()).cold());
}

BOOST_FIXTURE_TEST_CASE(earlierLifeIsToldLate_laterOneStays, Born)
{
    startInTwoHalls();
    putBorn(5);
    until([this] { return born() == 5U; }, "the life");
    putBorn(3);
    drain("hall-b");
    until([this] { return context().counters.value("servers_born_before") > 0U; }, "the late word");
    BOOST_TEST(*born() == 5U);
}

BOOST_FIXTURE_TEST_CASE(onlyTheSequenceOfCallsChanged_nothingIsForgotten, Born)
{
    startInTwoHalls();
    putBorn(5);
    until([this] { return born() == 5U; }, "the life");
    world().servers().setOthers(runner(0).name(), 17, context().now());
    json made = entry(0);
    made["born"] = 5;
    made["call_seq"] = 99;
    store().put("servers", runner(0).name(), made);
    drain("hall-b");
    until([this] { return !takesWork(1); }, "later news");
    BOOST_TEST(world().servers().load(runner(0).name(), context().now()) > 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SpoiltEntryTest)

namespace {

/** Contents that name no server, by what is wrong with them. */
const std::vector<std::pair<std::string, json>> Spoilt = {
        {"no object", json("text")},
        {"null", json()},
        {"no service", json{{"address", "10.0.0.1:80"}, {"zone", "z"}, {"state", "ready"}}},
        {"no address", json{{"service", "pool"}, {"zone", "z"}, {"state", "ready"}}},
        {"address of another type",
         json{{"service", "pool"}, {"address", 7}, {"zone", "z"}, {"state", "ready"}}},
        {"address that is none",
         json{{"service", "pool"}, {"address", "nowhere"}, {"zone", "z"}, {"state", "ready"}}},
        {"unknown state", json{{"service", "pool"},
                               {"address", "10.0.0.1:80"},
                               {"zone", "z"},
                               {"state", "resting"}}},
        {"huge number", json{{"service", "pool"},
                             {"address", "10.0.0.1:80"},
                             {"zone", "z"},
                             {"state", "ready"},
                             {"slots", 1e300}}},
        {"negative number", json{{"service", "pool"},
                                 {"address", "10.0.0.1:80"},
                                 {"zone", "z"},
                                 {"state", "ready"},
                                 {"slots", -4}}},
        {"time of another type", json{{"service", "pool"},
                                      {"address", "10.0.0.1:80"},
                                      {"zone", "z"},
                                      {"state", "ready"},
                                      {"cold_left_ms", "soon"}}},
        {"life of another type", json{{"service", "pool"},
                                      {"address", "10.0.0.1:80"},
                                      {"zone", "z"},
                                      {"state", "ready"},
                                      {"born", "today"}}}};

} // namespace

BOOST_FIXTURE_TEST_CASE(entriesSpoilt_beforeTheStart_nameNoServerAndOthersHold, TwoHalls)
{
    int number = 0;
    for (const auto &[what, content] : Spoilt) {
        store().put("servers", "i-spoilt-" + std::to_string(++number), content);
    }
    store().putSpoilt("servers", "i-no-revision", {{"metadata", {{"name", "i-no-revision"}}}});
    store().putSpoilt("servers", "i-no-metadata", json("nothing"));
    startInTwoHalls();
    BOOST_TEST(world().servers().ids().size() == 2U);
    BOOST_TEST(served(4) == 4);
    BOOST_TEST(context().counters.value("servers_unreadable") >= Spoilt.size());
    BOOST_TEST(context().counters.value("objects_unreadable", {{"kind", "servers"}}) == 1U);
}

BOOST_FIXTURE_TEST_CASE(entryTurnsUnreadable_serverGetsNothingMore, TwoHalls)
{
    startInTwoHalls();
    for (const auto &[what, content] : Spoilt) {
        BOOST_TEST_CONTEXT(what)
        {
            store().put("servers", runner(0).name(), content);
            until([this] { return !world().servers().find(runner(0).name()); }, "the end of it");
            BOOST_TEST(served(2) == 2);
            store().put("servers", runner(0).name(), entry(0));
            until([this] { return takesWork(0); }, "its return");
        }
    }
    store().putSpoilt("servers", runner(0).name(),
                      {{"metadata", {{"name", runner(0).name()}, {"revision", "x"}}}});
    until([this] { return !world().servers().find(runner(0).name()); }, "the end of it");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HomeRegionTest)

namespace {

class Homes : public TwoHalls
{
public:
    void startWithHomes(const json &ofRoute, const json &ofTenant)
    {
        json spec = configuration(1);
        for (json &one : spec["routes"]) {
            one["home_regions"] = ofRoute;
        }
        spec["tenants"][0]["home_regions"] = ofTenant;
        startWith(spec);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(routeHasAHome_requestsRunOnlyThere, Homes)
{
    startWithHomes({"south"}, json());
    BOOST_TEST(served(8) == 8);
    BOOST_TEST(call(promptRequest("/stream/x")).status == 200);
    BOOST_TEST(runner(0).records().empty());
}

BOOST_FIXTURE_TEST_CASE(routeAndOrganisationHaveHomes_bothBind, Homes)
{
    startWithHomes({"south", "north"}, {"north", "west"});
    BOOST_TEST(served(8) == 8);
    BOOST_TEST(runner(1).records().empty());
}

BOOST_FIXTURE_TEST_CASE(homesInNoHall_requestsAreRefusedAtOnce, Homes)
{
    startWithHomes({"west"}, json());
    BOOST_TEST(call(request("POST", "/once/x")).status == 503);
    BOOST_TEST(runs() == 0U);
}

BOOST_FIXTURE_TEST_CASE(homesWithoutARegionInCommon_requestsAreRefusedAtOnce, Homes)
{
    startWithHomes({"south"}, {"north"});
    BOOST_TEST(call(request("POST", "/once/x")).status == 503);
    BOOST_TEST(call(request("GET", "/open/x")).status == 200);
    BOOST_TEST(runner(0).records().empty());
}

BOOST_AUTO_TEST_SUITE_END()
