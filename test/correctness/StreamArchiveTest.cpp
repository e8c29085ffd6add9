// What boxes write to the store of the streams that they began: when, how often, and in what form.

#include "forward/MixedVersions.h"
#include "gateway/ArchivedStreams.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;
using forward::MixedVersions;
using nlohmann::json;

namespace {

constexpr std::uint64_t Pool = 1;
constexpr std::uint64_t Other = 2;

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant() + 100s + time;
}

peer::StreamNote noteOf(std::uint64_t number)
{
    const forward::StreamOrigin origin{Pool, number, forward::SoftwareVersion::withHash(~number)};
    return {{{number, ~0ULL}, {number + 1, 0}}, origin, 12000};
}

} // namespace

BOOST_AUTO_TEST_SUITE(MixedVersionsTest)

BOOST_AUTO_TEST_CASE(oneVersionOfEachService_isNotMixed)
{
    MixedVersions versions;
    versions.update({{Pool, {5}}, {Other, {6}}}, at(0s));
    BOOST_TEST(!versions.any(at(0s)));
}

BOOST_AUTO_TEST_CASE(secondVersion_isMixedUntilAWhileAfterItHasGone)
{
    MixedVersions versions;
    versions.update({{Pool, {5, 7}}, {Other, {6}}}, at(0s));
    BOOST_TEST(versions.isMixed(Pool, at(0s)));
    BOOST_TEST(!versions.isMixed(Other, at(0s)));
    versions.update({{Pool, {7}}}, at(10s));
    BOOST_TEST(versions.isMixed(Pool, at(MixedVersions::Kept - 1ms)));
    BOOST_TEST(!versions.isMixed(Pool, at(MixedVersions::Kept)));
    BOOST_TEST(!versions.any(at(MixedVersions::Kept)));
}

BOOST_AUTO_TEST_CASE(unknownVersionBesideAKnownOne_isMixed)
{
    MixedVersions versions;
    versions.update({{Pool, {0, 7}}}, at(0s));
    BOOST_TEST(versions.isMixed(Pool, at(0s)));
}

// Guards against a fleet whose boxes use up the writes that the store allows.
BOOST_AUTO_TEST_CASE(archivePause_anyNumberOfBoxes_leavesMostWritesToOthers)
{
    for (const double allowed : {100.0, 400.0, 1200.0}) {
        for (const std::size_t boxes : {1, 6, 85, 985}) {
            const double each = 1 / kernel::seconds(forward::archivePause(boxes, allowed));
            BOOST_TEST(static_cast<double>(boxes) * each <= allowed / 8 + 4);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ArchivedStreamsTest)

BOOST_AUTO_TEST_CASE(notesFromArchive_ofAContent_areThoseThatItWasMadeOf)
{
    const std::vector<peer::StreamNote> notes = {noteOf(3), noteOf(~0ULL - 1)};
    const json content = json::parse(gateway::archiveContent(notes).dump());
    BOOST_TEST((gateway::notesFromArchive(content) == notes));
    BOOST_TEST(gateway::notesFromArchive(gateway::archiveContent({})).empty());
}

// Guards against an entry that is read as another one than was written.
BOOST_AUTO_TEST_CASE(notesFromArchive_ofASpoiltContent_areSomeOfThoseOrNone)
{
    const std::vector<peer::StreamNote> notes = {noteOf(3), noteOf(4)};
    const json content = gateway::archiveContent(notes);
    for (const json &none : {json(), json(1), json::array({1}), json::object(),
                             json{{"streams", 5}}, json{{"streams", json::array({1, "a"})}}}) {
        BOOST_TEST(gateway::notesFromArchive(none).empty());
    }
    const json others = json::array({json(), 1, -1, "", "xyz", json::array(), json::object()});
    for (std::size_t field = 0; field < 4; ++field) {
        for (const json &other : others) {
            json spoilt = content;
            spoilt["streams"][0][field] = other;
            for (const peer::StreamNote &read : gateway::notesFromArchive(spoilt)) {
                const bool left = field == 3 && read.id == notes[0].id;
                BOOST_TEST((read == notes[1] || left));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
