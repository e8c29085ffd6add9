// Until when backend servers have asked a box for backoff.

#include "forward/BackoffTable.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using forward::BackoffTable;

namespace {

const kernel::Instant Start{100s};

} // namespace

BOOST_AUTO_TEST_SUITE(BackoffTableTest)

BOOST_AUTO_TEST_CASE(note_shorterBackoffDuringALongerOne_doesNotShortenIt)
{
    BackoffTable backoffs(600s);
    BOOST_TEST((backoffs.note(1, 30s, Start) == Start + 30s));
    BOOST_TEST((backoffs.note(1, 3s, Start + 1s) == Start + 30s));
    BOOST_TEST((backoffs.note(1, 3s, Start + 29s) == Start + 32s));
    BOOST_TEST((backoffs.note(1, 0s, Start + 30s) == Start + 32s));
}

BOOST_AUTO_TEST_CASE(note_longerThanTheMaximum_isCapped)
{
    BackoffTable backoffs(10s);
    BOOST_TEST((backoffs.note(1, kernel::Duration(24h), Start) == Start + 10s));
}

BOOST_AUTO_TEST_CASE(until_anotherIncarnation_hasNoBackoff)
{
    BackoffTable backoffs(600s);
    backoffs.note(1, 30s, Start);
    BOOST_TEST((backoffs.until(2) == kernel::Instant()));
}

BOOST_AUTO_TEST_CASE(expire_endedBackoffs_areDroppedAndOthersKept)
{
    BackoffTable backoffs(600s);
    backoffs.note(1, 3s, Start);
    backoffs.note(2, 5s, Start);
    backoffs.expire(Start + 3s);
    BOOST_TEST(backoffs.size() == 1U);
    BOOST_TEST((backoffs.until(2) == Start + 5s));
}

BOOST_AUTO_TEST_SUITE_END()
