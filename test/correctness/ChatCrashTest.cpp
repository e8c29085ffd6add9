// The own chat interface, and a chat request that ends each engine that begins to run it.

#include "services/CrashService.h"
#include "support/Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using support::Fleet;
using support::Turn;

namespace {

constexpr const char *Crashing = "the chat that ends engines";

/** Some routers and some engines that are back soon after they have ended. */
class ChatFixture
{
public:
    ChatFixture()
    {
        fleet.engines("hall-a", 5).routers("hall-a", 3);
        fleet.start();
        for (std::size_t index = 0; index < fleet.engineCount(); ++index) {
            fleet.engine(index).faults.endedBy = Crashing;
        }
    }

    /** Callers come again at one router after another. \return engines that ended. */
    int comeAgain(int times)
    {
        int ended = 0;
        for (int turn = 0; turn < times; ++turn) {
            last = fleet.chat(static_cast<std::size_t>(turn) % fleet.routerCount(),
                              Turn{.chat = "c" + std::to_string(turn), .says = Crashing});
            for (std::size_t index = 0; index < fleet.engineCount(); ++index) {
                if (fleet.engine(index).crashed()) {
                    ++ended;
                    fleet.engine(index).comeBack();
                }
            }
            BOOST_REQUIRE(fleet.until([this] { return fleet.settled(); }));
        }
        return ended;
    }

    Fleet fleet;
    support::CallerAnswer last;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChatCrashTest, ChatFixture)

BOOST_AUTO_TEST_CASE(chatThatEndsItsEngines_comesAgainAtEachRouter_threeEnginesEndInAll)
{
    BOOST_TEST(comeAgain(9) == 3);
    BOOST_TEST(last.status == 503);
    BOOST_TEST(last.resultCode == "212");
    BOOST_TEST(last.ran == "not-run");
    BOOST_TEST(!last.retryAfter.empty());
    BOOST_TEST(fleet.chat(1, Turn{.chat = "another"}).whole);
}

BOOST_AUTO_TEST_SUITE_END()
