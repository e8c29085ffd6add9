// How many requests prefer the own hall.

#include "forward/HallPreference.h"
#include "forward/ServerTable.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel::forward;

BOOST_AUTO_TEST_SUITE(HallPreferenceTest)

// Guards against servers of one hall that get more than a multiple of the mean as all callers are
// there: each share is held against the load that follows from it.
BOOST_AUTO_TEST_CASE(ownHallShare_allCallersInOneHall_itsServersGetAtMostTheMultiple)
{
    for (std::size_t all = 1; all <= 40; ++all) {
        for (std::size_t own = 1; own <= all; ++own) {
            for (const double multiple : {1.0, 1.5, 2.0, 4.0}) {
                const double share = ownHallShare({own, all}, multiple);
                const auto servers = static_cast<double>(all);
                const double perServer = share / static_cast<double>(own) + (1 - share) / servers;
                BOOST_TEST(share >= 0);
                BOOST_TEST(share <= 1);
                BOOST_TEST((own == all || perServer * servers <= multiple + 1e-9));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(ownHallShare_twoHallsAlike_allPreferTheirOwn)
{
    BOOST_TEST(ownHallShare({3, 6}, 2) == 1);
    BOOST_TEST(ownHallShare({1, 5}, 2) == 0.25);
    BOOST_TEST(ownHallShare({0, 5}, 2) == 1);
}

// Guards against a drained hall that counts among those that may take requests.
BOOST_AUTO_TEST_CASE(hallServersOf_hallIsDrained_itsServersDontCount)
{
    ServerPolicy policy;
    policy.hall = "a";
    ServerTable table(policy);
    for (const std::string hall : {"a", "a", "b", "c"}) {
        ListedServer server;
        server.id = hall + std::to_string(table.ids().size());
        server.service = "desk";
        server.hall = hall;
        table.put(server);
    }
    BOOST_TEST(table.hallServersOf("desk").own == 2U);
    BOOST_TEST(table.hallServersOf("desk").all == 4U);
    table.setDrainedHalls({"b"});
    BOOST_TEST(table.hallServersOf("desk").all == 3U);
    BOOST_TEST(table.hallServersOf("other").all == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
