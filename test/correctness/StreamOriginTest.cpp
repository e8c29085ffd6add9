// Which servers may continue a stream: the one that began it, and those of its software version.

#include "forward/StreamOrigin.h"
#include "forward/ServerTable.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;
using forward::ListedServer;
using forward::SoftwareVersion;
using forward::StreamOrigin;

namespace {

ListedServer server(const std::string &id, const std::string &version,
                    const std::string &service = "pool")
{
    ListedServer listed;
    listed.id = id;
    listed.service = service;
    listed.hall = "hall-a";
    listed.slots = 8;
    listed.version = SoftwareVersion::of(version);
    return listed;
}

/** A table with a server of each of these versions, named i-0, i-1 and so on. */
class Table
{
public:
    explicit Table(const std::vector<std::string> &versions)
    {
        for (const std::string &version : versions) {
            servers.put(server("i-" + std::to_string(count++), version));
        }
    }

    /** The servers that are chosen for a stream of this origin, over many draws. */
    std::set<std::string> chosenFor(const std::optional<StreamOrigin> &origin)
    {
        forward::ServerRequirements requirements;
        requirements.service = "pool";
        requirements.origin = origin;
        std::set<std::string> chosen;
        for (int draw = 0; draw < 200; ++draw) {
            if (const auto choice = servers.choose(requirements, kernel::Instant(1s), random)) {
                chosen.insert(choice->server.id);
            }
        }
        return chosen;
    }

    forward::ServerTable servers{forward::ServerPolicy{}};
    std::mt19937_64 random{1};
    int count = 0;
};

using Ids = std::set<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(StreamOriginTest)

BOOST_AUTO_TEST_CASE(version_ofAnyText_isTheSameAsItselfOnly)
{
    const std::vector<std::string> texts = {
            "v1", "v1.1", " v1", "V1", std::string(10240, 'x'), "\xFF\xFE", "\xC3", "0"};
    for (const std::string &one : texts) {
        for (const std::string &other : texts) {
            const bool same = SoftwareVersion::of(one).sameAs(SoftwareVersion::of(other));
            BOOST_TEST(same == (one == other));
        }
        BOOST_TEST(SoftwareVersion::of(one).text().size() <= 24U);
    }
}

BOOST_AUTO_TEST_CASE(unknownVersion_isTheSameAsNone)
{
    BOOST_TEST(!SoftwareVersion::of("").known());
    BOOST_TEST(!SoftwareVersion().sameAs(SoftwareVersion()));
    BOOST_TEST(!SoftwareVersion().sameAs(SoftwareVersion::of("v1")));
    BOOST_TEST(!SoftwareVersion::of("v1").sameAs(SoftwareVersion()));
}

// Guards against a continued stream for which another software version's server is chosen.
BOOST_AUTO_TEST_CASE(choose_forAStreamThatGoesOn_onlyServersOfItsVersion)
{
    Table table({"v1", "v2", "v1", "v3"});
    BOOST_TEST((table.chosenFor(std::nullopt) == Ids{"i-0", "i-1", "i-2", "i-3"}));
    BOOST_TEST((table.chosenFor(StreamOrigin::of(server("gone", "v1"))) == Ids{"i-0", "i-2"}));
    BOOST_TEST((table.chosenFor(StreamOrigin::of(server("i-3", "v3"))) == Ids{"i-3"}));
    BOOST_TEST(table.chosenFor(StreamOrigin::of(server("gone", "v4"))).empty());
    BOOST_TEST(table.chosenFor(StreamOrigin::of(server("gone", "v1", "other"))).empty());
    BOOST_TEST(table.chosenFor(StreamOrigin()).empty());
}

BOOST_AUTO_TEST_CASE(choose_versionUnknown_onlyTheSameIncarnation)
{
    Table table({"", "", "v1"});
    BOOST_TEST((table.chosenFor(StreamOrigin::of(server("i-0", ""))) == Ids{"i-0"}));
    BOOST_TEST(table.chosenFor(StreamOrigin::of(server("gone", ""))).empty());
    ListedServer restarted = server("i-0", "");
    restarted.startNumber = 2;
    BOOST_TEST(table.chosenFor(StreamOrigin::of(restarted)).empty());
}

BOOST_AUTO_TEST_CASE(versionChangesUnderOneId_theServerFitsOnlyItsOwnStreams)
{
    Table table({"v1", "v1"});
    const StreamOrigin atChanged = StreamOrigin::of(server("i-0", "v1"));
    const StreamOrigin atOther = StreamOrigin::of(server("i-1", "v1"));
    table.servers.put(server("i-0", "v2"));
    table.servers.put(server("i-0", "v1"));
    BOOST_TEST((table.chosenFor(atOther) == Ids{"i-1"}));
    BOOST_TEST((table.chosenFor(table.servers.corrected(atChanged)) == Ids{"i-0"}));
}

BOOST_AUTO_TEST_CASE(anyContinues_onlyLeavingServersOfTheVersion_isFalse)
{
    Table table({"v1", "v2"});
    ListedServer leaving = server("i-0", "v1");
    BOOST_TEST(table.servers.anyContinues(StreamOrigin::of(leaving)));
    leaving.leaving = true;
    table.servers.put(leaving);
    BOOST_TEST(!table.servers.anyContinues(StreamOrigin::of(leaving)));
}

BOOST_AUTO_TEST_CASE(text_readBack_isTheSameOrigin)
{
    const StreamOrigin origin = StreamOrigin::of(server("i-0", "v1"));
    const auto read = forward::streamOriginFrom(text(origin));
    BOOST_TEST(read.has_value());
    BOOST_TEST(read->agreesWith(origin));
    BOOST_TEST(read->mayContinueAt(server("another", "v1")));
    for (const std::string &none : {std::string(), std::string(48, 'g'), std::string(47, '0'),
                                    std::string(49, '0'), "-" + std::string(47, '1')}) {
        BOOST_TEST(!forward::streamOriginFrom(none).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
