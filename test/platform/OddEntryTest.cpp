// One odd object among those of a list: what the parser rejects in it costs no other object, from
// the store itself, in the changes of a watch and through a relay.

#include "gateway/FleetView.h"
#include "http/JsonBody.h"
#include "http/JsonRepair.h"
#include "http/JsonSlices.h"
#include "platform/GatewayFixture.h"
#include "platform/Objects.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel;
using nlohmann::json;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** A value as another writer may have written it. */
struct Odd
{
    std::string what;
    std::string text;
};

std::vector<Odd> oddValues()
{
    return {{"deep, 64", nested(64)},
            {"deep, 65", nested(65)},
            {"deep, 100", nested(100)},
            {"deep, 1,000", nested(1000)},
            {"deep, 1,000,000", nested(1000000)},
            {"deep objects", R"({"a":{"b]":{"c":)" + nested(200) + "}}}"},
            {"number beyond 64 bits", "18446744073709551616"},
            {"number of 400 digits", std::string(400, '7')},
            {"1e400", "1e400"},
            {"-1e999", "-1e999"},
            {"exponent of 20 digits", "1e99999999999999999999"},
            {"tiny, exponent of 20 digits", "1e-99999999999999999999"},
            {"-0", "-0"},
            {"fraction", "70.5"},
            {"port of five digits", R"("10.0.0.1:70000")"},
            {"text of 1 MB", '"' + std::string(1000000, 'x') + '"'},
            {"empty text", R"("")"},
            {"escaped NUL", R"("a\u0000b")"},
            {"half of a pair", R"("\ud800")"},
            {"second half of a pair", R"("\udc00x")"},
            {"pair", R"("\ud83d\ude00")"},
            {"not UTF-8", "\"\xff\xfe\""},
            {"overlong UTF-8", "\"\xc0\xaf\""},
            {"control letter", "\"a\x01\x62\""},
            {"array", "[1,2]"},
            {"key twice", R"({"a":1,"a":2})"}};
}

const std::vector<std::string> Members = {"slots",   "address",      "zone",   "state",
                                          "version", "cold_left_ms", "models", "unread"};

std::string soundEntry(int number)
{
    const std::string id = std::to_string(number);
    return R"({"metadata":{"name":"i-)" + id + R"(","revision":)" + id
           + R"(},"spec":{"service":"pool","address":"10.0.0.1:)" + std::to_string(1000 + number)
           + R"(","zone":"hall-a","slots":8,"state":"ready"},"status":null})";
}

std::string page(int sound, const std::string &odd)
{
    std::string items;
    for (int number = 1; number <= sound; ++number) {
        items += soundEntry(number) + ',';
        items += number == sound / 2 ? odd + ',' : "";
    }
    items.pop_back();
    return R"({"items":[)" + items + R"(],"more":false,"at":5000})";
}

json readInSlices(std::string_view text)
{
    http::JsonSlices slices(text);
    while (slices.readSlice()) {
    }
    return slices.take();
}

/** What a feed reads of \a text. */
json readLikeAFeed(const std::string &text)
{
    json value = readInSlices(text);
    const auto repaired = http::repairJson(text);
    return value.is_discarded() && repaired ? readInSlices(repaired->text) : value;
}

/** Names of the sound servers of \a body. */
std::size_t soundServers(json body)
{
    const auto read = platform::objectFormat().readPage(std::move(body));
    if (!read) {
        return 0;
    }
    return static_cast<std::size_t>(
            std::ranges::count_if(read->objects, [](const store::StoredObject &object) {
                const auto server = platform::readServer(object);
                return server && object.name != "i-odd";
            }));
}

void checkPage(int sound, const std::string &odd)
{
    const std::string text = page(sound, odd);
    BOOST_TEST(soundServers(readLikeAFeed(text)) == static_cast<std::size_t>(sound));
    BOOST_TEST(soundServers(http::parseStored(text)) == static_cast<std::size_t>(sound));
}

/** A gateway whose store has one odd server beside a sound one. */
struct OddStore : support::GatewayFixture
{
    void startSound()
    {
        putConfiguration(configuration(1));
        store().put("servers", runner(0).name(), entryOf(runner(0), "pool"));
        start();
        until([this] { return ready(); }, "readiness");
        until([this] { return known(runner(0).name()); }, "the sound server");
    }

    gateway::FleetView &world() { return context().kernel.find<gateway::FleetView>("world"); }

    bool known(const std::string &id) { return world().servers().find(id).has_value(); }

    /** Lists a server whose \a member has this text. */
    void putOdd(const std::string &member, const std::string &text)
    {
        store().rawTexts["raw"] = text;
        json entry = entryOf(runner(0), "pool");
        entry[member] = "raw";
        store().put("servers", "i-odd", entry);
    }

    /** A sound server, by which it shows that the box still follows the list. */
    void putNew(const std::string &id)
    {
        store().put("servers", id, entryOf(runner(0), "pool"));
        until([this, &id] { return known(id); }, "a new server");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntryTest)

// Guards against a list that is discarded for one object in it, so that a box stops following its
// servers.
BOOST_AUTO_TEST_CASE(page_oneOddMember_allOthersAreRead)
{
    for (const Odd &odd : oddValues()) {
        for (const std::string &member : Members) {
            const std::string entry = R"({"metadata":{"name":"i-odd","revision":7},"spec":{")"
                                      + member + R"(":)" + odd.text + R"(},"status":null})";
            BOOST_TEST_CONTEXT(odd.what << " as " << member)
            {
                checkPage(4, entry);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(largePage_oneOddMember_allOthersAreRead)
{
    for (const Odd &odd : oddValues()) {
        const std::string entry =
                R"({"metadata":{"name":"i-odd","revision":7},"spec":{"unread":)" + odd.text + "}}";
        BOOST_TEST_CONTEXT(odd.what)
        {
            checkPage(2000, entry);
        }
    }
}

BOOST_AUTO_TEST_CASE(page_oddOutsideTheContent_allOthersAreRead)
{
    for (const Odd &odd : oddValues()) {
        BOOST_TEST_CONTEXT(odd.what)
        {
            checkPage(4, odd.text);
            checkPage(4, R"({"metadata":)" + odd.text + R"(,"spec":{}})");
            checkPage(4,
                      R"({"metadata":{"name":"i-odd","revision":)" + odd.text + R"(},"spec":{}})");
            checkPage(4, R"({"metadata":{"name":"i-odd","revision":7},"spec":)" + odd.text + "}");
        }
    }
}

BOOST_AUTO_TEST_CASE(repair_soundText_isLeftAlone)
{
    const std::string text = page(300, soundEntry(301));
    BOOST_TEST(!http::repairJson(text).has_value());
    BOOST_TEST(!http::repairJson(R"({"a":"\ud83d\ude00 \" \\ é","b":[-1.5e300,0]})").has_value());
}

// Whatever the bytes, a repair ends, and its result is read as JSON or rejected.
BOOST_AUTO_TEST_CASE(repair_randomBytes_isReadOrRejected)
{
    std::mt19937_64 random(23);
    const std::string sound =
            page(6, R"({"metadata":{"name":"i-odd"},"spec":{"a":)" + nested(70) + "}}");
    std::size_t repaired = 0;
    for (int round = 0; round < 4000; ++round) {
        std::string text = sound;
        for (std::uint64_t change = 0; change < 1 + round % 4U; ++change) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        const auto made = http::repairJson(text);
        repaired += made && !http::parseBody(made->text).is_discarded() ? 1 : 0;
    }
    BOOST_TEST(repaired > 400U);
}

// Guards against a box that stops following its servers while one odd entry stands among them.
BOOST_FIXTURE_TEST_CASE(changes_oneOddEntry_boxGoesOnFollowing, OddStore)
{
    startSound();
    int number = 0;
    for (const Odd &odd : oddValues()) {
        BOOST_TEST_CONTEXT(odd.what)
        {
            putOdd("unread", odd.text);
            putNew("i-new-" + std::to_string(++number));
            BOOST_TEST(known(runner(0).name()));
        }
    }
    BOOST_TEST(context().counters.value("answers_repaired", {{"kind", "servers"}}) > 0U);
}

BOOST_FIXTURE_TEST_CASE(list_oneOddEntryBeforeTheStart_boxKnowsTheOthers, OddStore)
{
    putOdd("slots", "1e400");
    startSound();
    BOOST_TEST(!known("i-odd"));
    BOOST_TEST(context().counters.value("servers_unreadable") >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()
