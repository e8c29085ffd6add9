// Boxes that have lost their way to all backend servers and keep their callers: requests of these
// go on through boxes that reach the servers.

#include "platform/CutBoxFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

namespace {

using Cut = CutBoxFixture::Cut;

const std::string FiveEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
                               "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
                               "id: 5\ndata: piece 5\n\n";
constexpr std::size_t Servers = 3;
const std::vector<std::string> Kinds = {"/once/", "/again/", "/stream/", "/resume/"};

// A box that is cut off, beside one that isn't.
class CutBox : public CutBoxFixture
{
public:
    void checkServed(Cut how)
    {
        startBoxes(1, 1);
        cut(0, how);
        letNotice(0);
        for (const std::string &kind : Kinds) {
            const std::size_t before = runs();
            const GatewayAnswer answer = call(0, fresh(kind));
            BOOST_TEST(answer.status == 200, kind << " got " << answer.status);
            BOOST_TEST(answer.marked);
            BOOST_TEST(!answer.fields.get("X-Response-Stamp").empty());
            BOOST_TEST((answer.body == FiveEvents || answer.body.starts_with("done by ")));
            BOOST_TEST(runs() == before + 1);
        }
        cut(0, Cut::None);
        until([this] { return !world(0).isLost("pool"); }, "the way back");
        BOOST_TEST(call(0, fresh("/once/")).status == 200);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CutBoxTest, CutBox)

// These guard against a box that refuses its callers while other boxes reach the backend servers.
BOOST_AUTO_TEST_CASE(boxCutFromAllServers_connectionsRefused_servesThroughAnotherBox)
{
    checkServed(Cut::Refused);
}

BOOST_AUTO_TEST_CASE(boxCutFromAllServers_connectionsReset_servesThroughAnotherBox)
{
    checkServed(Cut::Reset);
}

BOOST_AUTO_TEST_CASE(boxCutFromAllServers_connectionsHang_servesThroughAnotherBox)
{
    checkServed(Cut::Hanging);
}

BOOST_AUTO_TEST_CASE(allBoxesCut_request_isRefusedAsNotRunWithATimeToComeBack)
{
    startBoxes(2, 0);
    cut(0, Cut::Refused);
    cut(1, Cut::Refused);
    letNotice(0);
    const GatewayAnswer answer = call(0, fresh("/once/"));
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!answer.fields.get("Retry-After").empty());
    BOOST_TEST(answer.fields.get("X-Detour-Refused").empty());
    BOOST_TEST(runs() == 0U);
}

// Guards against a promise that a request hasn't run which another box had been sent.
BOOST_AUTO_TEST_CASE(otherBoxFreezesWithTheRequest_onceOnly_isNotPromisedNotToHaveRunNorRunAgain)
{
    startBoxes(1, 1);
    cut(0, Cut::Refused);
    letNotice(0);
    for (std::size_t index = 0; index < Servers; ++index) {
        runner(index).faults.push_back(standin::RunnerFault::Silent);
    }
    http::Request request = GatewayFixture::request("POST", "/once/frozen",
                                                    http::Fields().with("X-Deadline-Ms", "800"));
    const auto pending = begin(0, std::move(request));
    until([this] { return runs() == 1; }, "the run");
    freeze(1);
    until([&] { return pending->done; }, "the answer");
    BOOST_TEST(pending->answer.status == 504);
    BOOST_TEST(pending->answer.fields.get("Retry-After").empty());
    BOOST_TEST(runs() == 1U);
}

// A box of an earlier version says nothing of detours in its heartbeats.
BOOST_AUTO_TEST_CASE(otherBoxServesNoDetours_request_isRefusedAndNobodyAsked)
{
    moreSettings += "detours = false\n";
    startBoxes(1, 1);
    cut(0, Cut::Refused);
    letNotice(0);
    BOOST_TEST(call(0, fresh("/once/")).status == 503);
    BOOST_TEST(runs() == 0U);
}

// Guards against a box that takes its own cut for crashes of servers, and has harmless requests
// restricted everywhere.
BOOST_AUTO_TEST_CASE(boxCutWhileEqualRequestsRun_noneOfThemIsTakenForACrashingOne)
{
    startBoxes(1, 1);
    for (std::size_t index = 0; index < Servers; ++index) {
        runner(index).faults.push_back(standin::RunnerFault::Silent);
    }
    std::vector<std::shared_ptr<PendingCall>> calls;
    for (std::size_t count = 0; count < Servers; ++count) {
        calls.push_back(begin(0, GatewayFixture::request("POST", "/once/same")));
    }
    until([this] { return runs() == Servers; }, "each server runs one");
    cut(0, Cut::Refused);
    until([&] { return std::ranges::all_of(calls, &PendingCall::done); }, "the answers");
    BOOST_TEST(crashes(0).book().shared().empty());
    BOOST_TEST(call(0, GatewayFixture::request("POST", "/once/same")).status == 200);
    BOOST_TEST(crashes(1).book().shared().empty());
}

BOOST_AUTO_TEST_SUITE_END()
