// When a box takes itself for cut off from all backend servers of a service.

#include "forward/ServiceReach.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using forward::ServiceReach;

namespace {

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant() + 100s + time;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceReachTest)

BOOST_AUTO_TEST_CASE(lost_oneServerFailsOften_isNot)
{
    ServiceReach reach;
    for (int time = 0; time < 10; ++time) {
        reach.noteUnreached("pool", 1, at(0s));
    }
    BOOST_TEST(!reach.isLost("pool", 9, at(0s)));
    BOOST_TEST(reach.isLost("pool", 1, at(0s)));
    BOOST_TEST(!reach.isLost("pool", 0, at(0s)));
}

BOOST_AUTO_TEST_CASE(lost_differentServersFailWithNoneReachedBetween_is)
{
    ServiceReach reach;
    reach.noteUnreached("pool", 1, at(0s));
    reach.noteReached("pool");
    reach.noteUnreached("pool", 2, at(1s));
    BOOST_TEST(!reach.isLost("pool", 9, at(1s)));
    reach.noteUnreached("pool", 3, at(1s));
    BOOST_TEST(reach.isLost("pool", 9, at(1s)));
    BOOST_TEST(!reach.isLost("desk", 9, at(1s)));
    reach.noteReached("pool");
    BOOST_TEST(!reach.isLost("pool", 9, at(1s)));
}

BOOST_AUTO_TEST_CASE(lost_failuresLongAgo_isNot)
{
    ServiceReach reach;
    reach.noteUnreached("pool", 1, at(0s));
    reach.noteUnreached("pool", 2, at(2s));
    BOOST_TEST(reach.isLost("pool", 9, at(2s)));
    BOOST_TEST(!reach.isLost("pool", 9, at(3s)));
    BOOST_TEST(reach.doubtful(at(3s)).size() == 1U);
    BOOST_TEST(reach.doubtful(at(5s)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
