// What the adapter reads of a backend server's answers.

#include "platform/Adapter.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;

namespace {

forward::AnswerHead headWithLoad(const std::string &load)
{
    const auto fields =
            load.empty() ? http::Fields() : http::Fields().with("X-Instance-Load", load);
    return platform::adapter().dialect.readHead(200, fields);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DialectTest)

// Servers that share their machines say a fourth figure; all four were left out for it.
BOOST_AUTO_TEST_CASE(readHead_loadOfThreeOrFourFigures_isRead)
{
    using Load = forward::ReportedLoad;
    BOOST_TEST((headWithLoad("3,1,8").load == Load{3, 1, 8, 100}));
    BOOST_TEST((headWithLoad("3,1,8,140").load == Load{3, 1, 8, 140}));
    BOOST_TEST((headWithLoad("0,0,0,0").load == Load{0, 0, 0, 0}));
    BOOST_TEST(!headWithLoad("").loadUnreadable);
    BOOST_TEST(!headWithLoad("3,1,8,140").loadUnreadable);
}

BOOST_AUTO_TEST_CASE(readHead_loadThatIsNone_isLeftOutAndSaidSo)
{
    for (const char *load :
         {"3", "3,1", "3,1,8,140,1", "-3,1,8", "3,,8", "3,1,8,", "3,1,8,x", "3,1,8,-1", ",,,",
          "3,1,99999999999", "3,1,8,99999999999", " 3,1,8", "3;1;8"}) {
        BOOST_TEST_CONTEXT(load)
        {
            const forward::AnswerHead head = headWithLoad(load);
            BOOST_TEST(!head.load.has_value());
            BOOST_TEST(head.loadUnreadable);
        }
    }
}

BOOST_AUTO_TEST_CASE(readHead_retryAfter_isAWishForRestOfA503Only)
{
    const auto &dialect = platform::adapter().dialect;
    const auto asking = http::Fields().with("Retry-After", "3");
    BOOST_TEST((dialect.readHead(503, asking).backoffFor == kernel::Duration(3s)));
    BOOST_TEST((!dialect.readHead(429, asking).backoffFor));
    BOOST_TEST((!dialect.readHead(200, asking).backoffFor));
    const auto unreadable = dialect.readHead(503, http::Fields().with("Retry-After", "soon"));
    BOOST_TEST(!unreadable.backoffFor.has_value());
    BOOST_TEST(unreadable.backoffUnreadable);
}

// Guards against a time that is so long that it becomes a negative one.
BOOST_AUTO_TEST_CASE(readHead_keepAliveOfAnyLength_isNoLessThanAShorterOne)
{
    const auto keptFor = [](const std::string &seconds) {
        const auto fields = http::Fields().with("Keep-Alive", "timeout=" + seconds);
        return platform::adapter().dialect.readHead(200, fields).keptFor;
    };
    BOOST_TEST((keptFor("5") == kernel::Duration(5s)));
    for (const char *seconds : {"100000", "9223372036854775", "9223372036854775807"}) {
        BOOST_TEST((keptFor(seconds) >= kernel::Duration(3600s)), seconds);
    }
    for (const char *seconds : {"-1", "-9223372036854775808"}) {
        BOOST_TEST((keptFor(seconds) == kernel::Duration(0s)), seconds);
    }
    BOOST_TEST((!keptFor("9223372036854775808")));
}

// The same for a caller's patience.
BOOST_AUTO_TEST_CASE(readCall_deadlineOfAnyLength_isNoLessThanAShorterOne)
{
    for (const char *milliseconds : {"100000000", "9223372036854775", "9223372036854775807"}) {
        const http::Request request("GET", "/x",
                                    http::Fields()
                                            .with("Host", "x")
                                            .with("X-Attempt-Id", "a1")
                                            .with("X-Deadline-Ms", milliseconds));
        const auto call = platform::adapter().dialect.readCall(request);
        BOOST_REQUIRE(call.has_value());
        BOOST_TEST((call->callerTimeout >= kernel::Duration(3600s)), milliseconds);
    }
}

BOOST_AUTO_TEST_CASE(readHead_leaving_isReadFromEveryAnswer)
{
    const auto &dialect = platform::adapter().dialect;
    const auto leaving = http::Fields().with("Server-Leaving", "1");
    for (const int status : {200, 421, 500, 503}) {
        BOOST_TEST(dialect.readHead(status, leaving).leaving);
    }
    BOOST_TEST(!dialect.readHead(200, http::Fields()).leaving);
    BOOST_TEST(!dialect.readHead(200, http::Fields().with("Server-Leaving", "0")).leaving);
}

BOOST_AUTO_TEST_SUITE_END()
