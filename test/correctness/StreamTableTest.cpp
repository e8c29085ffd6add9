// The records by which a caller can take its stream up at any box, and the boxes that keep them.

#include "forward/StreamTable.h"
#include "forward/StreamKeepers.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace limereel;
using namespace limereel::forward;

namespace {

using Noted = StreamTable::Noted;

constexpr kernel::Instant Now(100s);
constexpr kernel::Instant Later = Now + 10s;

StreamOrigin origin(std::uint64_t server, const std::string &version)
{
    return {1, server, SoftwareVersion::of(version)};
}

StreamKey key(std::uint64_t number)
{
    return streamKeyOf("one", std::to_string(number));
}

std::vector<StreamKeeper> boxes(std::size_t count, std::size_t halls)
{
    std::mt19937_64 random(7);
    std::vector<StreamKeeper> all;
    for (std::size_t box = 0; box < count; ++box) {
        all.push_back({random(), static_cast<membership::ShortHash>(box % halls)});
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamTableTest)

BOOST_AUTO_TEST_CASE(streamKey_sameIdOfTwoOrganisations_differs)
{
    BOOST_TEST((streamKeyOf("one", "a") == streamKeyOf("one", "a")));
    BOOST_TEST((streamKeyOf("one", "a") != streamKeyOf("two", "a")));
    BOOST_TEST((streamKeyOf("one", "a") != streamKeyOf("onea", "")));
}

BOOST_AUTO_TEST_CASE(find_untilItExpires_isWhatWasNoted)
{
    StreamTable table;
    BOOST_TEST((table.find(key(1), Now) == nullptr));
    BOOST_TEST((table.note(key(1), origin(5, "v1"), Later) == Noted::Added));
    BOOST_TEST((table.find(key(1), Now)->origin == origin(5, "v1")));
    BOOST_TEST((table.find(key(2), Now) == nullptr));
    BOOST_TEST((table.find(key(1), Later) == nullptr));
    table.expire(Later);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(note_again_lastsLongerAndNeverShorter)
{
    StreamTable table;
    table.note(key(1), origin(5, "v1"), Later);
    BOOST_TEST((table.note(key(1), origin(6, "v1"), Later + 5s) == Noted::Known));
    BOOST_TEST((table.note(key(1), origin(5, "v1"), Now) == Noted::Known));
    BOOST_TEST((table.find(key(1), Later) != nullptr));
}

// Guards against a stream whose id was used for two being continued as either.
BOOST_AUTO_TEST_CASE(note_twoVersionsUnderOneKey_contradictsItself)
{
    for (const StreamOrigin &other : {origin(6, "v2"), origin(6, ""), StreamOrigin()}) {
        StreamTable table;
        table.note(key(1), origin(5, "v1"), Later);
        BOOST_TEST((table.note(key(1), other, Later) == Noted::Contradicted));
        BOOST_TEST((table.note(key(1), origin(5, "v1"), Later) == Noted::Contradicted));
        BOOST_TEST(table.find(key(1), Now)->contradicted);
    }
}

BOOST_AUTO_TEST_CASE(note_moreThanFit_keepsWhatItHasAndNoMore)
{
    StreamTable table;
    for (std::size_t number = 0; number < StreamTable::MaxRecords; ++number) {
        table.note(key(number), origin(5, "v1"), Later);
    }
    BOOST_TEST((table.note(key(StreamTable::MaxRecords), origin(5, "v1"), Later) == Noted::Full));
    BOOST_TEST((table.note(key(0), origin(5, "v1"), Later) == Noted::Known));
    BOOST_TEST(table.size() == StreamTable::MaxRecords);
}

BOOST_AUTO_TEST_CASE(sources_eachCombination_areOneOriginOrNone)
{
    const StreamRecord one{origin(5, "v1"), false, Later};
    const StreamRecord sameVersion{origin(6, "v1"), false, Later};
    const StreamRecord otherVersion{origin(7, "v2"), false, Later};
    const StreamRecord unknownVersion{origin(8, ""), false, Later};
    const StreamRecord spoilt{origin(5, "v1"), true, Later};
    struct Row
    {
        std::vector<const StreamRecord *> told;
        bool known;
        bool contradicted;
        bool settled;
    };
    const std::vector<Row> rows = {
            {{}, false, false, false},
            {{nullptr, nullptr}, false, false, false},
            {{&one}, true, false, false},
            {{nullptr, &one}, true, false, false},
            {{&one, &sameVersion}, true, false, true},
            {{&one, &otherVersion}, false, true, true},
            {{&one, &unknownVersion}, false, true, true},
            {{&unknownVersion, &unknownVersion}, true, false, true},
            {{&spoilt}, false, true, true},
            {{&one, nullptr, &spoilt}, false, true, true},
    };
    for (const Row &row : rows) {
        StreamSources sources;
        for (const StreamRecord *record : row.told) {
            sources.add(record);
        }
        BOOST_TEST(sources.origin().has_value() == row.known);
        BOOST_TEST(sources.contradicted() == row.contradicted);
        BOOST_TEST(sources.settled() == row.settled);
    }
}

BOOST_AUTO_TEST_CASE(keepers_ofAnyStream_areInTwoHallsWhereThereAreTwo)
{
    const auto all = boxes(6, 3);
    for (std::uint64_t number = 0; number < 200; ++number) {
        const auto chosen = keepersOf(key(number), all, 3);
        BOOST_TEST(chosen.size() == 3U);
        BOOST_TEST(chosen[0].hall != chosen[1].hall);
        BOOST_TEST((std::set<StreamKeeper>(chosen.begin(), chosen.end()).size() == 3U));
    }
    BOOST_TEST(keepersOf(key(1), boxes(2, 1), 3).size() == 2U);
    BOOST_TEST(keepersOf(key(1), {}, 3).empty());
}

// Guards against records that aren't found because the boxes of a fleet are listed in another order
// or one of them has gone.
BOOST_AUTO_TEST_CASE(keepers_oneBoxGoneOrTheOrderChanged_areFoundAgain)
{
    const auto all = boxes(83, 5);
    auto reversed = all;
    std::ranges::reverse(reversed);
    for (std::uint64_t number = 0; number < 50; ++number) {
        const auto told = keepersOf(key(number), all, 3);
        BOOST_TEST((keepersOf(key(number), reversed, 3) == told));
        auto fewer = all;
        std::erase(fewer, told[0]);
        const auto asked = keepersOf(key(number), fewer, 4);
        const auto known = std::ranges::count_if(told, [&](const StreamKeeper &keeper) {
            return std::ranges::find(asked, keeper) != asked.end();
        });
        BOOST_TEST(known == 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
