// Logs: an event that floods is bounded, and the story of one request is found in logs of several
// boxes.

#include "kernel/Log.h"
#include "command/Explain.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace limereel;

namespace {

kernel::Instant at(kernel::Duration since)
{
    return kernel::Instant(1000s) + since;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LineLimiterTest)

BOOST_AUTO_TEST_CASE(pass_moreThanTheBoundInASecond_holdsBackAndTellsHowMany)
{
    kernel::LineLimiter limiter(3);
    for (int line = 0; line < 3; ++line) {
        BOOST_TEST(limiter.pass("sent", at(0s)).value() == 0U);
    }
    BOOST_TEST(!limiter.pass("sent", at(500ms)).has_value());
    BOOST_TEST(!limiter.pass("sent", at(900ms)).has_value());
    BOOST_TEST(limiter.pass("sent", at(1s)).value() == 2U);
    BOOST_TEST(limiter.pass("sent", at(1s)).value() == 0U);
}

BOOST_AUTO_TEST_CASE(pass_otherEvent_isNotHeldBackByAFlood)
{
    kernel::LineLimiter limiter(1);
    limiter.pass("sent", at(0s));
    BOOST_TEST(!limiter.pass("sent", at(0s)).has_value());
    BOOST_TEST(limiter.pass("ended", at(0s)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ExplainTest)

// Guards against a log line as long as another writer's name.
BOOST_AUTO_TEST_CASE(shortName_megabyte_isCut)
{
    BOOST_TEST(kernel::shortName("i-one") == "i-one");
    BOOST_TEST(kernel::shortName(std::string(1000000, 'x')).size() == 200U);
}

BOOST_AUTO_TEST_CASE(linesOf_mixedLog_givesTheRequestsLinesWithTheirInputs)
{
    std::istringstream log(
            "not a line of the log\n"
            R"({"time":"12:00:01","box":"b1","part":"run","event":"sent","request":"r1","server":"s1","left_ms":90,"message":"It goes."})"
            "\n"
            R"({"time":"12:00:02","box":"b1","part":"run","event":"sent","request":"r2","message":"Another."})"
            "\n"
            R"(0.1 b1 {"time":"12:00:03","box":"b1","part":"run","event":"ended","request":"r1","result":"ok","message":"It is over."})"
            "\n{\"broken\": \n");
    const auto lines = command::linesOf("r1", log);
    BOOST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(lines[0].sentence == "It goes. (left_ms=90, server=s1)");
    BOOST_TEST(lines[1].time == "12:00:03");
    BOOST_TEST(lines[1].sentence == "It is over. (result=ok)");
}

BOOST_AUTO_TEST_SUITE_END()
