// Until when backend servers have asked a box for rest.

#include "forward/BackoffTable.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using forward::BackoffTable;

namespace {

const kernel::Instant Start{100s};

} // namespace

BOOST_AUTO_TEST_SUITE(BackoffTableTest)

BOOST_AUTO_TEST_CASE(note_shorterWordDuringALongerRest_doesNotCutIt)
{
    BackoffTable rests(600s);
    BOOST_TEST((rests.note(1, 30s, Start) == Start + 30s));
    BOOST_TEST((rests.note(1, 3s, Start + 1s) == Start + 30s));
    BOOST_TEST((rests.note(1, 3s, Start + 29s) == Start + 32s));
    BOOST_TEST((rests.note(1, 0s, Start + 30s) == Start + 32s));
}

BOOST_AUTO_TEST_CASE(note_longerThanIsKept_isCutToThat)
{
    BackoffTable rests(10s);
    BOOST_TEST((rests.note(1, kernel::Duration(24h), Start) == Start + 10s));
}

BOOST_AUTO_TEST_CASE(until_anotherLife_restsNot)
{
    BackoffTable rests(600s);
    rests.note(1, 30s, Start);
    BOOST_TEST((rests.until(2) == kernel::Instant()));
}

BOOST_AUTO_TEST_CASE(expire_restsThatAreOver_areForgottenAndOthersKept)
{
    BackoffTable rests(600s);
    rests.note(1, 3s, Start);
    rests.note(2, 5s, Start);
    rests.expire(Start + 3s);
    BOOST_TEST(rests.size() == 1U);
    BOOST_TEST((rests.until(2) == Start + 5s));
}

BOOST_AUTO_TEST_SUITE_END()
