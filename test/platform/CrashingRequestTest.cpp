// A request that ends each backend server that begins to run it.
//
// What was seen: on a fleet of six boxes one request of one organisation came again and again, at
// every box, and ended nineteen and twenty engines; each took the streams of others with it and
// came back cold.
// How it came about: each try was a new request to the box that it reached; its connection to the
// engine broke, the caller was told so and came again elsewhere.
// Cause: nothing was remembered of a request beyond its run, and what bounds attempts was counted
// within one run. Boxes now sum at a request's owner under which requests servers ended.
// Proof: the two first cases, with 12 and 21 ended engines before.

#include "platform/CrashFixture.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

BOOST_FIXTURE_TEST_SUITE(CrashingRequestTest, CrashFixture)

BOOST_AUTO_TEST_CASE(streamThatEndsItsServers_comesAgainAtEachBox_threeServersEndInAll)
{
    startAll();
    comeAgain(12, "/stream/");
    BOOST_TEST(ended() <= 3U);
    BOOST_TEST(call(1, "/stream/", "another").status == 200);
}

BOOST_AUTO_TEST_CASE(streamThatEndsItsServers_stopped_eachBoxRefusesItAtOnceAndSaysNotRun)
{
    startAll();
    comeAgain(6, "/stream/");
    BOOST_TEST(ended() == 3U);
    untilStoppedAt({0, 1, 2, 3});
    const std::size_t runs = reached();
    for (std::size_t box = 0; box < Boxes; ++box) {
        const Got got = call(box, "/stream/", Crashing);
        BOOST_TEST(got.status == 503);
        BOOST_TEST(!got.fields.get("Retry-After").empty());
        BOOST_TEST(counter(box, "results", {{"kind", "refused"}, {"code", "ends-servers"}}) > 0U);
    }
    BOOST_TEST(reached() == runs);
}

BOOST_AUTO_TEST_CASE(boxStartsAfterARequestWasStopped_othersTellIt)
{
    startAll();
    comeAgain(6, "/stream/");
    untilStoppedAt({0, 1, 2, 3});
    const std::size_t late = startBox(Store::Reached);
    untilStoppedAt({late});
    BOOST_TEST(ended() == 3U);
}

// No box has anything that outlasts its process.
BOOST_AUTO_TEST_CASE(allBoxesLosePowerAfterARequestWasStopped_itStaysStopped)
{
    startAll();
    comeAgain(6, "/stream/");
    untilStoppedAt({0, 1, 2, 3});
    until([this] { return store().objects("stopped-requests").size() == 1; }, "its object");
    restartAll();
    untilStoppedAt({0, 1, 2, 3});
    comeAgain(4, "/stream/");
    BOOST_TEST(ended() == 3U);
}

BOOST_AUTO_TEST_CASE(requestIsStoppedWhileTheStoreIsAway_isKeptOnceThatIsBack)
{
    startAll();
    comeAgain(2, "/stream/");
    store().faults.status = 503;
    call(2, "/stream/", Crashing);
    untilStoppedAt({0, 1, 2, 3});
    store().faults.status = 0;
    until([this] { return store().objects("stopped-requests").size() == 1; }, "its object");
}

// A part of the fleet that can't hear the one that stopped the request has the store in common.
BOOST_AUTO_TEST_CASE(requestWasStoppedBehindACut_storeSaysSo_isNotSentAlone)
{
    startAll();
    comeAgain(1, "/stream/");
    store().put("stopped-requests", forward::text(identity("/stream/")),
                {{"round", 0}, {"servers", {1, 2, 3}}, {"failed_trials", 1}});
    comeAgain(6, "/stream/");
    BOOST_TEST(ended() == 2U);
    untilStoppedAt({0, 1, 2, 3});
}

// Guards against stopped requests that run again, as another entry stands before them in the store.
BOOST_AUTO_TEST_CASE(oddNameBeforeAStoppedRequest_pageFails_boxesThatStartKnowIt)
{
    using PageFault = standin::StoreStandin::PageFault;
    constexpr const char *OddName = "%odd";
    for (const PageFault fault :
         {PageFault::Refusal, PageFault::Failure, PageFault::Silence, PageFault::FirstPage}) {
        BOOST_TEST_CONTEXT("fault " << static_cast<int>(fault))
        {
            CrashFixture fixture;
            fixture.store().put("stopped-requests", OddName, "none");
            fixture.store().put("stopped-requests", forward::text(fixture.identity("/stream/")),
                                {{"round", 0}, {"servers", {1, 2, 3}}, {"failed_trials", 1}});
            fixture.store().pageSize = 1;
            fixture.store().faultsBehind[OddName] = fault;
            fixture.startAll();
            BOOST_CHECK_NO_THROW(fixture.untilStoppedAt({0, 1, 2, 3}));
        }
    }
}

BOOST_AUTO_TEST_CASE(stoppedRequest_operatorLiftsIt_runsAgainEverywhereAndLeavesTheStore)
{
    startAll();
    comeAgain(6, "/stream/");
    untilStoppedAt({0, 1, 2, 3});
    until([this] { return store().objects("stopped-requests").size() == 1; }, "its object");
    const std::string name = store().objects("stopped-requests").begin()->first;
    BOOST_TEST(lift(1, "identity=" + name, std::string(64, 'b')) == 401);
    BOOST_TEST(lift(1, "identity=none", std::string(64, 'a')) == 400);
    BOOST_TEST(lift(1, "identity=" + std::string(48, '0'), std::string(64, 'a')) == 404);
    BOOST_TEST(lift(1, "identity=" + name, std::string(64, 'a')) == 200);
    until([this] { return store().objects("stopped-requests").empty(); }, "the object's end");
    const auto free = [this](std::size_t box) {
        const auto records = crashes(box).book().shared();
        return records.size() == 1 && records.front().servers.empty();
    };
    until([&] { return free(0) && free(1) && free(2) && free(3); }, "its end at each box");
}

// Equal requests, as plain ones of one caller often are, run on all engines at once when these end.
BOOST_AUTO_TEST_CASE(equalRequestsRunWhereAllServersEnd_servedOnceServersAreBack)
{
    startAll();
    for (auto &engine : engines_) {
        engine->faults.assign(20, standin::RunnerFault::Silent);
    }
    std::vector<std::shared_ptr<Got>> running;
    for (std::size_t number = 0; number < 24; ++number) {
        running.push_back(begin(number % Boxes, "/again/", "harmless"));
    }
    until([&] { return reached() >= 24; }, "requests at the engines");
    for (auto &engine : engines_) {
        engine->crash();
    }
    until([&] { return std::ranges::all_of(running, [](const auto &got) { return got->done; }); },
          "answers");
    bringBack();
    until([&] { return call(0, "/again/", "harmless").status == 200; }, "one that is served");
    until(
            [&] {
                for (std::size_t box = 0; box < Boxes; ++box) {
                    if (call(box, "/again/", "harmless").status != 200) {
                        return false;
                    }
                }
                return true;
            },
            "service at each box");
    for (std::size_t box = 0; box < Boxes; ++box) {
        BOOST_TEST(counter(box, "results", {{"kind", "refused"}, {"code", "ends-servers"}}) == 0U);
    }
}

// Guards against a request that runs alone again and again, as the end of its server shows late.
BOOST_DATA_TEST_CASE_F(CrashFixture, serversPortsEndLater_requestComesAgain_isStoppedAfterSix,
                       boost::unit_test::data::make({5, 100, 2000}), milliseconds)
{
    portEndsAfter = std::chrono::milliseconds(milliseconds);
    startAll();
    comeAgainUntilStopped();
    BOOST_TEST_MESSAGE("servers that ended: " << ends());
    BOOST_TEST(ends() <= 6U);
}

BOOST_AUTO_TEST_CASE(serversAreFollowedAtTheirPorts_requestComesAgain_isStoppedAfterSix)
{
    startAll();
    letProcessesFollowEachOther();
    comeAgainUntilStopped();
    BOOST_TEST_MESSAGE("servers that ended: " << ends());
    BOOST_TEST(ends() <= 6U);
}

BOOST_AUTO_TEST_CASE(requestThatEndsItsServers_isRepeatedByTheBoxToo_threeServersEndInAll)
{
    startAll();
    comeAgain(12, "/again/");
    BOOST_TEST(ended() <= 3U);
    BOOST_TEST(call(1, "/again/", "another").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
