// How often the boxes of a hall ask their relays while the store's answer is out.

#include "platform/HallFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

namespace {

struct QuestionsFixture : HallFixture
{
    std::uint64_t asks(std::size_t index, const char *kind) const
    {
        return counter(index, "relay_asks", {{"kind", kind}});
    }

    /** The most questions of one box and kind within 100 ms, over \a time. */
    std::uint64_t mostAsks(std::size_t index, const char *kind, kernel::Duration time)
    {
        std::uint64_t most = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            const auto part = std::chrono::steady_clock::now() + 100ms;
            const std::uint64_t before = asks(index, kind);
            until([&] { return std::chrono::steady_clock::now() >= part; }, "a tenth of a second");
            most = std::max(most, asks(index, kind) - before);
        }
        return most;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RelayQuestionsTest, QuestionsFixture)

// Boxes asked a relay that answers without a pause while its watch was out for long.
BOOST_AUTO_TEST_CASE(storeIsSilentForAWhile_relaysAreNotAskedWithoutPause)
{
    putVersion(1);
    listServer();
    for (std::size_t index = 0; index < 8; ++index) {
        startBox(Store::Reached, index < 2 ? 200 : 20);
    }
    until([this] { return everyBoxIsAt(1); }, "the first version everywhere");
    until([this] { return asks(7, "config") > 3; }, "a relay that is asked");
    const std::uint64_t usual = mostAsks(7, "config", 2s);
    store().faults.silent = true;
    const std::uint64_t silent = mostAsks(7, "config", 4s);
    BOOST_TEST_MESSAGE("questions in 100 ms: usually " << usual << ", then " << silent);
    BOOST_TEST(silent <= 5U);
}

BOOST_AUTO_TEST_SUITE_END()
