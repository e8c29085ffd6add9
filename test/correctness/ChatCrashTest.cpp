// Tests the project's own chat interface with a chat request that crashes each engine that begins
// to run it. Guards against such a request crashing one engine after another when callers repeat
// it.

#include "services/CrashService.h"
#include "support/Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using support::Fleet;
using support::Turn;

namespace {

constexpr const char *CrashingChat = "the chat that ends engines";

/** A hall with routers and with engines that restart soon after a crash. */
class ChatFixture
{
public:
    ChatFixture()
    {
        fleet.engines("hall-a", 5).routers("hall-a", 3);
        fleet.start();
        for (std::size_t index = 0; index < fleet.engineCount(); ++index) {
            fleet.engine(index).faults.endedBy = CrashingChat;
        }
    }

    /** Sends the chat \a times times, to one router after another. \return the number of engine
     * crashes. */
    int repeatChat(int times)
    {
        int crashes = 0;
        for (int turn = 0; turn < times; ++turn) {
            last = fleet.chat(static_cast<std::size_t>(turn) % fleet.routerCount(),
                              Turn{.chat = "c" + std::to_string(turn), .says = CrashingChat});
            for (std::size_t index = 0; index < fleet.engineCount(); ++index) {
                if (fleet.engine(index).crashed()) {
                    ++crashes;
                    fleet.engine(index).comeBack();
                }
            }
            BOOST_REQUIRE(fleet.until([this] { return fleet.settled(); }));
        }
        return crashes;
    }

    Fleet fleet;
    support::CallerAnswer last;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ChatCrashTest, ChatFixture)

BOOST_AUTO_TEST_CASE(chatThatCrashesEngines_repeatedAtEachRouter_threeEnginesCrashInTotal)
{
    BOOST_TEST(repeatChat(9) == 3);
    BOOST_TEST(last.status == 503);
    BOOST_TEST(last.resultCode == "212");
    BOOST_TEST(last.ran == "not-run");
    BOOST_TEST(!last.retryAfter.empty());
    BOOST_TEST(fleet.chat(1, Turn{.chat = "another"}).whole);
}

BOOST_AUTO_TEST_SUITE_END()
