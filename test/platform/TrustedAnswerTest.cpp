// Answers that a faulty backend server spoils: which of them is taken for the request's own, for a
// success, or for the promise that it hasn't run.

#include "platform/CutBoxFixture.h"
#include "platform/GatewayFixture.h"

#include <array>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;
using standin::RunnerFault;

namespace {

/** A kind of request, and whether it may run again. */
struct Kind
{
    const char *prefix;
    bool stream;
    bool repeatable;
};

std::ostream &operator<<(std::ostream &stream, const Kind &kind)
{
    return stream << kind.prefix;
}

const std::vector<Kind> Kinds = {{"/once/", false, false},
                                 {"/again/", false, true},
                                 {"/stream/", true, false},
                                 {"/resume/", true, true}};

/** A gateway between two servers. */
class FaultyServers : public GatewayFixture
{
public:
    /** Each server has a connection that has carried an answer. */
    void startWithKeptConnections()
    {
        startReady();
        const auto bothAnswered = [this] {
            call(request("POST", "/once/kept"));
            return runner(0).runs() > 0 && runner(1).runs() > 0;
        };
        until(bothAnswered, "both servers have answered");
        connectionsBefore_ = context().counters.value("backend_connections");
    }

    /** New connections since then. */
    std::uint64_t newConnections()
    {
        return context().counters.value("backend_connections") - connectionsBefore_;
    }

    /** Sends a request, of which the first attempt meets the fault. */
    GatewayAnswer callMeeting(RunnerFault fault, const Kind &kind)
    {
        const std::array before = {runner(0).records().size(), runner(1).records().size()};
        runner(0).faults = runner(1).faults = {fault};
        const std::string target = std::string(kind.prefix) + "x";
        const auto pending = begin(kind.stream ? promptRequest(target) : request("POST", target));
        const auto arrivedAt = [&](std::size_t index) {
            return runner(index).records().size() > before.at(index);
        };
        until([&] { return arrivedAt(0) || arrivedAt(1); }, "the arrival");
        for (std::size_t index = 0; index < 2; ++index) {
            if (!arrivedAt(index)) {
                runner(index).faults.clear();
            }
        }
        return finish(pending);
    }

private:
    std::uint64_t connectionsBefore_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(TrustedAnswerTest)

// Guards against a success that no server has signed.
BOOST_DATA_TEST_CASE(answerIsUnsigned_request_isRepeatedWhereAllowedElseFails,
                     boost::unit_test::data::make(Kinds))
{
    FaultyServers fixture;
    fixture.startReady();
    const GatewayAnswer answer = fixture.callMeeting(RunnerFault::Unsigned, sample);
    BOOST_TEST(answer.status == (sample.repeatable ? 200 : 502));
    BOOST_TEST(fixture.runs() == (sample.repeatable ? 2U : 1U));
    BOOST_TEST(!(answer.status == 200 && answer.fields.get("X-Response-Stamp").empty()));
}

// Guards against the same where another box passes the answer on.
BOOST_DATA_TEST_CASE(answerIsUnsigned_requestThroughAnotherBox_neverBecomesASuccess,
                     boost::unit_test::data::make(Kinds))
{
    CutBoxFixture fixture;
    fixture.startBoxes(1, 1);
    fixture.cut(0, CutBoxFixture::Cut::Refused);
    fixture.letNotice(0);
    for (std::size_t index = 0; index < fixture.servers(); ++index) {
        fixture.runner(index).faults = {RunnerFault::Unsigned, RunnerFault::Unsigned};
    }
    const std::size_t before = fixture.runs();
    const GatewayAnswer answer = fixture.call(0, fixture.fresh(sample.prefix));
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(fixture.runs() == before + (sample.repeatable ? 2U : 1U));
}

// Guards against a request that runs a second time, as surplus bytes on its connection passed for
// its rejection.
BOOST_DATA_TEST_CASE(rejectionNamesNoRequest_connectionHasCarriedAnotherAnswer_provesNothing,
                     boost::unit_test::data::make(Kinds))
{
    FaultyServers fixture;
    fixture.startWithKeptConnections();
    const std::size_t before = fixture.runs();
    const GatewayAnswer answer = fixture.callMeeting(RunnerFault::SurplusRejection, sample);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.whole);
    BOOST_TEST((sample.repeatable || fixture.runs() == before + 1));
    BOOST_TEST((sample.repeatable || fixture.newConnections() == 0U));
}

// A sound rejection keeps its worth: nothing else can have been on its way.
BOOST_DATA_TEST_CASE(rejectionNamesNoRequest_connectionIsNew_requestGoesToAnotherServer,
                     boost::unit_test::data::make(Kinds))
{
    FaultyServers fixture;
    fixture.startReady();
    const GatewayAnswer answer = fixture.callMeeting(RunnerFault::UnnamedReject, sample);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(fixture.runs() == 1U);
}

// Guards against an interim head that is passed on in place of the whole answer behind it.
BOOST_DATA_TEST_CASE(interimHeadNamesTheRequest_wholeAnswerFollows_isPassedOn,
                     boost::unit_test::data::make(Kinds))
{
    FaultyServers fixture;
    fixture.startReady();
    const GatewayAnswer answer = fixture.callMeeting(RunnerFault::Interim, sample);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.whole);
    BOOST_TEST(fixture.runs() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
