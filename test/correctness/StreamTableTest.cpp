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

RequestIdentity request(std::uint64_t number)
{
    return {0, number * 3, number * 0x9e3779b97f4a7c15ULL};
}

/** The id of a stream whose request is like no other's. */
StreamId id(std::uint64_t number)
{
    return streamIdOf(request(number), "one", std::to_string(number));
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

BOOST_AUTO_TEST_CASE(streamId_sameIdOfTwoOrganisations_differs)
{
    const auto attempt = [](const char *organisation, const char *name) {
        return streamIdOf(request(1), organisation, name).attempt;
    };
    BOOST_TEST((attempt("one", "a") == attempt("one", "a")));
    BOOST_TEST((attempt("one", "a") != attempt("two", "a")));
    BOOST_TEST((attempt("one", "a") != attempt("onea", "")));
}

BOOST_AUTO_TEST_CASE(find_untilItExpires_isWhatWasNoted)
{
    StreamTable table;
    BOOST_TEST((table.findAttempt(id(1).attempt, Now) == nullptr));
    BOOST_TEST((table.note(id(1), origin(5, "v1"), Later) == Noted::Added));
    BOOST_TEST((table.findAttempt(id(1).attempt, Now)->origin == origin(5, "v1")));
    BOOST_TEST((table.findAttempt(id(2).attempt, Now) == nullptr));
    BOOST_TEST((table.findAttempt(id(1).attempt, Later) == nullptr));
    table.expire(Later);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(note_again_lastsLongerAndNeverShorter)
{
    StreamTable table;
    table.note(id(1), origin(5, "v1"), Later);
    BOOST_TEST((table.note(id(1), origin(6, "v1"), Later + 5s) == Noted::Known));
    BOOST_TEST((table.note(id(1), origin(5, "v1"), Now) == Noted::Known));
    BOOST_TEST((table.findAttempt(id(1).attempt, Later) != nullptr));
}

// Guards against a stream whose id was used for two being continued as either.
BOOST_AUTO_TEST_CASE(note_twoVersionsUnderOneKey_contradictsItself)
{
    for (const StreamOrigin &other : {origin(6, "v2"), origin(6, ""), StreamOrigin()}) {
        StreamTable table;
        table.note(id(1), origin(5, "v1"), Later);
        BOOST_TEST((table.note(id(1), other, Later) == Noted::Contradicted));
        BOOST_TEST((table.note(id(1), origin(5, "v1"), Later) == Noted::Contradicted));
        BOOST_TEST(table.findAttempt(id(1).attempt, Now)->contradicted);
    }
}

// Guards against a caller that doesn't name its stream being given another one's version.
BOOST_AUTO_TEST_CASE(findRequest_equalRequests_isKnownWhereAllAgree)
{
    const StreamId first = streamIdOf(request(1), "one", "a");
    const StreamId second = streamIdOf(request(1), "one", "b");
    StreamTable table;
    table.note(first, origin(5, "v1"), Later);
    table.note(second, origin(6, "v1"), Later + 5s);
    BOOST_TEST(!table.findRequest(first.request, Now)->contradicted);
    table.note(streamIdOf(request(1), "one", "c"), origin(7, "v2"), Later);
    BOOST_TEST(table.findRequest(first.request, Now)->contradicted);
    BOOST_TEST(!table.findAttempt(first.attempt, Now)->contradicted);
    BOOST_TEST((table.findRequest(id(2).request, Now) == nullptr));
}

BOOST_AUTO_TEST_CASE(note_noRoomForAnEqualRequest_stillContradictsIt)
{
    StreamTable table;
    for (std::size_t number = 0; number < StreamTable::MaxStreams; ++number) {
        table.note(id(number), origin(5, "v1"), Later);
    }
    const StreamId equal = streamIdOf(request(1), "one", "another");
    BOOST_TEST((table.note(equal, origin(6, "v2"), Later) == Noted::Full));
    BOOST_TEST(table.findRequest(equal.request, Now)->contradicted);
}

BOOST_AUTO_TEST_CASE(note_moreThanFit_keepsWhatItHasAndNoMore)
{
    StreamTable table;
    for (std::size_t number = 0; number < StreamTable::MaxStreams; ++number) {
        table.note(id(number), origin(5, "v1"), Later);
    }
    BOOST_TEST((table.note(id(StreamTable::MaxStreams), origin(5, "v1"), Later) == Noted::Full));
    BOOST_TEST((table.note(id(0), origin(5, "v1"), Later) == Noted::Known));
    BOOST_TEST(table.size() == StreamTable::MaxStreams);
}

BOOST_AUTO_TEST_CASE(sources_eachCombination_areOneOriginOrNone)
{
    const StreamRecord one{origin(5, "v1"), false, false, Later};
    const StreamRecord sameVersion{origin(6, "v1"), false, false, Later};
    const StreamRecord otherVersion{origin(7, "v2"), false, false, Later};
    const StreamRecord unknownVersion{origin(8, ""), false, false, Later};
    const StreamRecord spoilt{origin(5, "v1"), true, false, Later};
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
        const auto chosen = keepersOf(id(number).request, all, 3);
        BOOST_TEST(chosen.size() == 3U);
        BOOST_TEST(chosen[0].hall != chosen[1].hall);
        BOOST_TEST((std::set<StreamKeeper>(chosen.begin(), chosen.end()).size() == 3U));
    }
    BOOST_TEST(keepersOf(id(1).request, boxes(2, 1), 3).size() == 2U);
    BOOST_TEST(keepersOf(id(1).request, {}, 3).empty());
}

// Guards against records that aren't found because the boxes of a fleet are listed in another order
// or one of them has gone.
BOOST_AUTO_TEST_CASE(keepers_oneBoxGoneOrTheOrderChanged_areFoundAgain)
{
    const auto all = boxes(83, 5);
    auto reversed = all;
    std::ranges::reverse(reversed);
    for (std::uint64_t number = 0; number < 50; ++number) {
        const auto told = keepersOf(id(number).request, all, 3);
        BOOST_TEST((keepersOf(id(number).request, reversed, 3) == told));
        auto fewer = all;
        std::erase(fewer, told[0]);
        const auto asked = keepersOf(id(number).request, fewer, 4);
        const auto known = std::ranges::count_if(told, [&](const StreamKeeper &keeper) {
            return std::ranges::find(asked, keeper) != asked.end();
        });
        BOOST_TEST(known == 2);
    }
}

// Guards against a box that takes its own record of an equal request for all that there is.
BOOST_AUTO_TEST_CASE(coversEqualRequests_fewAnswerOrFleetIsCut_doesNot)
{
    for (std::size_t asked = 0; asked <= 4; ++asked) {
        for (std::size_t answered = 0; answered <= asked; ++answered) {
            const bool enough = answered == asked || answered >= 2;
            BOOST_TEST(coversEqualRequests({asked, answered, true}) == enough);
            BOOST_TEST(!coversEqualRequests({asked, answered, false}));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
