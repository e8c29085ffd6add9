// A body that is held in blocks: what is put in comes out, whatever the sizes.

#include "http/BodyBlocks.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using limereel::http::BodyBlocks;

namespace {

std::string randomText(std::mt19937_64 &random, std::size_t bytes)
{
    std::string text(bytes, '\0');
    std::ranges::generate(text, [&random] { return static_cast<char>(random()); });
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BodyBlocksTest)

BOOST_AUTO_TEST_CASE(join_nothingWasPut_isEmptyAndHoldsNothing)
{
    BodyBlocks blocks;
    BOOST_TEST(blocks.held() == 0U);
    BOOST_TEST(blocks.join().empty());
}

BOOST_AUTO_TEST_CASE(join_randomPieces_isWhatWasPut)
{
    std::mt19937_64 random(11);
    for (const std::size_t size : {1, 100, 16383, 16384, 16385, 32768, 100000}) {
        for (const bool known : {true, false}) {
            const std::string text = randomText(random, size);
            BodyBlocks blocks = known ? BodyBlocks(size) : BodyBlocks();
            std::string_view left = text;
            while (!left.empty()) {
                const std::size_t bytes = std::min<std::size_t>(1 + random() % 5000, left.size());
                blocks.append(left.substr(0, bytes));
                left.remove_prefix(bytes);
            }
            BOOST_TEST(blocks.held() < size + BodyBlocks::BlockBytes);
            BOOST_TEST((blocks.join() == text));
        }
    }
}

// Guards against a length that is announced and holds memory before anything has come.
BOOST_AUTO_TEST_CASE(held_lengthIsAnnounced_growsWithWhatCame)
{
    BodyBlocks blocks(1000000);
    BOOST_TEST(blocks.held() == 0U);
    blocks.append("x");
    BOOST_TEST(blocks.held() == BodyBlocks::BlockBytes);
    BodyBlocks small(10);
    small.append("x");
    BOOST_TEST(small.held() == 10U);
}

BOOST_AUTO_TEST_SUITE_END()
