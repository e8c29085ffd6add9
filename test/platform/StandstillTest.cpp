// What a box thinks of its backend servers right after it stood still.
//
// Found by reading the sources and reproduced here, not in a record of a fleet:
// after a standstill, requests went around the servers that were busy with this box's
// requests, and on new connections instead of kept ones. How it came about: a server counts as
// silent when nothing has come from it for a while although an answer is due, and a hall as cut off
// when several of its servers are silent. After a standstill of that length this held for each
// server with a running request, while its bytes lay unread. Cause: silence was counted over the
// time in which the box itself could hear nothing.

#include "gateway/FleetView.h"
#include "platform/GatewayFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;

namespace {

/** A gateway with a running request at each of its two servers. */
struct BusyServers : support::GatewayFixture
{
    BusyServers()
    {
        startReady();
        for (const std::string &id : book().ids()) {
            book().begin(id, nullptr, now());
        }
    }

    forward::ServerTable &book()
    {
        return context().kernel.find<gateway::FleetView>("world").servers();
    }
    kernel::Instant now() { return context().now(); }

    bool anySilent()
    {
        bool found = false;
        for (const std::string &id : book().ids()) {
            found = found || book().silent(id, now());
        }
        return found;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StandstillTest, BusyServers)

BOOST_AUTO_TEST_CASE(silent_rightAfterOwnStandstill_noServerIs)
{
    stepForward(5s);
    BOOST_TEST(!anySilent());
}

BOOST_AUTO_TEST_CASE(choose_rightAfterOwnStandstill_hallIsNotDoubted)
{
    stepForward(5s);
    forward::ServerRequirements wish;
    wish.service = "pool";
    const auto choice = book().choose(wish, now(), context().random);
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(!choice->trial);
}

BOOST_AUTO_TEST_CASE(silent_nothingComesAfterOwnStandstill_serverIsInTheEnd)
{
    stepForward(5s);
    until([this] { return anySilent(); }, "a silent server");
}

BOOST_AUTO_TEST_SUITE_END()
