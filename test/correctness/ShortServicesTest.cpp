// Which services a box considers short of capacity, and for how long.

#include "forward/ShortServices.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using forward::ShortServices;

namespace {

const kernel::Instant Start{1000s};

} // namespace

BOOST_AUTO_TEST_SUITE(ShortServicesTest)

BOOST_AUTO_TEST_CASE(isShort_afterTheLastSign_endsAfterFiveSeconds)
{
    ShortServices services;
    BOOST_TEST(!services.isShort("plain", Start));
    services.noteShort("plain", Start);
    services.noteShort("plain", Start + 3s);
    BOOST_TEST(services.isShort("plain", Start + 7999ms));
    BOOST_TEST(!services.isShort("plain", Start + 8s));
}

// Guards against a shortage of one service that makes boxes ask for places at all of them.
BOOST_AUTO_TEST_CASE(isShort_anotherService_isNotAffected)
{
    ShortServices services;
    services.noteShort("plain", Start);
    BOOST_TEST(!services.isShort("pool", Start));
}

BOOST_AUTO_TEST_CASE(count_afterSomeEnded_countsTheOthers)
{
    ShortServices services;
    services.noteShort("plain", Start);
    services.noteShort("pool", Start + 2s);
    BOOST_TEST(services.count(Start + 2s) == 2U);
    BOOST_TEST(services.count(Start + 6s) == 1U);
    BOOST_TEST(services.count(Start + 7s) == 0U);
}

BOOST_AUTO_TEST_CASE(expire_someEnded_keepsTheOthers)
{
    ShortServices services;
    services.noteShort("plain", Start);
    services.noteShort("pool", Start + 2s);
    services.expire(Start + 6s);
    BOOST_TEST(services.isShort("pool", Start + 6s));
    BOOST_TEST(!services.isShort("plain", Start + 4s));
}

BOOST_AUTO_TEST_SUITE_END()
