// A hall whose relays stand still while the store loses its history: who reads the long list again.

#include "platform/HallFixture.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using namespace limereel::support;

BOOST_FIXTURE_TEST_SUITE(LostHistoryTest, HallFixture)

// A box that learns at the end of its search that the history is gone leaves the list to relays for
// two seconds (store/ListWait), and must ask them meanwhile.
BOOST_AUTO_TEST_CASE(relaysStandStillAndHistoryIsLost_listIsLeftToTheNextRelaysWhichAreAsked)
{
    constexpr std::size_t Boxes = 14;
    constexpr std::size_t Frozen = 3;
    constexpr std::size_t More = 700;
    moreSettings = "drain-within = 1s\n";
    putVersion(1);
    for (std::size_t number = 0; number < More; ++number) {
        listServer("i-more-" + std::to_string(number));
    }
    store().pageSize = 100;
    for (std::size_t index = 0; index < Boxes; ++index) {
        startBox(Store::Reached, index < Frozen ? 200 : 20);
    }
    const auto knows = [this](std::size_t index, const std::string &id) {
        return world(index).servers().find(id).has_value();
    };
    const auto allKnow = [&](const std::string &id) {
        for (std::size_t index = Frozen; index < Boxes; ++index) {
            if (!knows(index, id)) {
                return false;
            }
        }
        return true;
    };
    until([&] { return everyBoxIsAt(1) && allKnow("i-more-699"); }, "the list everywhere");
    const kernel::Labels servers = {{"kind", "servers"}};
    until([&] { return counter(Boxes - 1, "relay_asks", servers) > 5; }, "relays that are asked");
    // The first pages of the start are over.
    const auto settled = std::chrono::steady_clock::now() + 4s;
    until([&] { return std::chrono::steady_clock::now() > settled; }, "four seconds");
    std::vector<std::uint64_t> calls;
    for (std::size_t index = 0; index < Boxes; ++index) {
        calls.push_back(counter(index, "store_calls", servers));
    }
    for (std::size_t index = 0; index < Frozen; ++index) {
        freeze(index);
    }
    listServer("i-new");
    store().forgetHistory();
    const auto began = std::chrono::steady_clock::now();
    std::vector<std::uint64_t> asked(Boxes);
    std::vector<kernel::Duration> longestQuiet(Boxes);
    std::vector<std::chrono::steady_clock::time_point> last(Boxes, began);
    const auto watched = [&] {
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t index = Frozen; index < Boxes; ++index) {
            const std::uint64_t sum =
                    counter(index, "relay_asks", servers) + counter(index, "store_calls", servers);
            if (sum != asked[index]) {
                asked[index] = sum;
                last[index] = now;
            }
            longestQuiet[index] = std::max<kernel::Duration>(
                    longestQuiet[index],
                    std::chrono::duration_cast<kernel::Duration>(now - last[index]));
        }
        return allKnow("i-new");
    };
    until(watched, "the new server at all others");
    const auto took = std::chrono::steady_clock::now() - began;
    std::size_t lists = 0;
    for (std::size_t index = Frozen; index < Boxes; ++index) {
        const std::uint64_t more = counter(index, "store_calls", servers) - calls[index];
        lists += more >= More / 100 ? 1 : 0;
        BOOST_TEST_MESSAGE("box " << index << ": " << more
                                  << " calls to the store, nobody asked for "
                                  << longestQuiet[index] / 1ms << " ms");
    }
    BOOST_TEST_MESSAGE(took / 1ms << " ms; " << lists << " boxes read the whole list");
    BOOST_TEST(lists <= 4U);
}

BOOST_AUTO_TEST_SUITE_END()
