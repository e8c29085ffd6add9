// A backend server that turns a request away and asks this box for rest is sent nothing until the
// rest is over.
// Guards against requests that go to a server while it rests, as its word was heard by nobody.

#include "platform/GatewayFixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

namespace {

constexpr kernel::Duration Rest = 3s;
constexpr kernel::Duration Step = 70ms;

/** Two servers, of which the first may turn away what it is sent. */
class RestFixture : public GatewayFixture
{
public:
    RestFixture()
    {
        // The clock runs ahead of the store's confirmations.
        moreSettings = "revoke-within = 600s\n";
    }

    GatewayAnswer send(const std::string &target)
    {
        ++sent_;
        const auto id = http::Fields().with("X-Attempt-Id", "a" + std::to_string(sent_));
        const bool engine = target.starts_with("/stream/") || target.starts_with("/resume/");
        return call(engine ? promptRequest(target, id) : request("POST", target, id));
    }

    void turnAway(std::size_t index, const std::string &rest)
    {
        runner(index).turnsAway = true;
        runner(index).restAsked = rest;
    }

    /** The server to which requests go first turns one away and asks for \a rest. */
    std::size_t letOneTurnAway(const std::string &target, const std::string &rest)
    {
        BOOST_TEST(send(target).status == 200);
        const std::size_t index = arrivals(0) > 0 ? 0 : 1;
        turnAway(index, rest);
        for (int turn = 0; turn < 50 && arrivals(index) == 1; ++turn) {
            restBegan_ = context().now();
            BOOST_TEST(send(target).status == 200);
        }
        BOOST_REQUIRE(arrivals(index) == 2U);
        return index;
    }

    kernel::Instant restBegan_; ///< No later than the server's word.

    std::size_t arrivals(std::size_t index) { return runner(index).records().size(); }

private:
    int sent_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RestAskedTest)

BOOST_DATA_TEST_CASE_F(RestFixture, server_asksForRest_nothingReachesItBeforeTheEnd,
                       boost::unit_test::data::make({"/again/x", "/once/x", "/stream/x"}), target)
{
    startReady();
    const std::size_t resting = letOneTurnAway(target, "3");
    int sends = 0;
    while (context().now() < restBegan_ + Rest) {
        const auto answer = send(target);
        if (context().now() < restBegan_ + Rest) {
            BOOST_TEST(answer.status == 200);
            BOOST_TEST(arrivals(resting) == 2U);
            ++sends;
        }
        stepForward(Step);
    }
    BOOST_TEST(sends > 10);
}

BOOST_FIXTURE_TEST_CASE(server_restIsOver_takesWorkAgain, RestFixture)
{
    startReady();
    const std::size_t resting = letOneTurnAway("/again/x", "3");
    runner(resting).turnsAway = false;
    stepForward(Rest * 2);
    for (int turn = 0; turn < 50 && arrivals(resting) == 2; ++turn) {
        BOOST_TEST(send("/again/x").status == 200);
    }
    BOOST_TEST(arrivals(resting) > 2U);
}

BOOST_FIXTURE_TEST_CASE(allServers_askForRest_requestsAreRefusedAtOnceAndToldWhenToComeBack,
                        RestFixture)
{
    startReady();
    turnAway(0, "3");
    turnAway(1, "3");
    BOOST_TEST(send("/again/x").status == 503);
    const std::size_t before = arrivals(0) + arrivals(1);
    BOOST_TEST(before == 2U);
    for (int turn = 0; turn < 10; ++turn) {
        stepForward(Step);
        const GatewayAnswer answer = send("/again/x");
        BOOST_TEST(answer.status == 503);
        // Other boxes may be served there, and callers sent away until the same moment would all
        // be back in it.
        const double comeBack = std::stod(std::string(answer.fields.get("Retry-After")));
        BOOST_TEST(comeBack > 0);
        BOOST_TEST(comeBack < kernel::seconds(Rest));
        BOOST_TEST(answer.body.find("servers-rest") != std::string::npos);
    }
    BOOST_TEST(arrivals(0) + arrivals(1) == before);
}

BOOST_FIXTURE_TEST_CASE(server_asksForRestInAWayThatCantBeRead_isLeftAloneLikeAFullOne, RestFixture)
{
    startReady();
    letOneTurnAway("/again/x", "soon");
    BOOST_TEST(context().counters.value("rests_unreadable") > 0U);
    BOOST_TEST(context().counters.value("rests_asked") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
