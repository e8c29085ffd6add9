// Names that other writers gave to objects of the store: whatever stands in one, it arrives as it
// was written wherever a box asks for it, and costs no other object of its list.

#include "gateway/FleetView.h"
#include "platform/GatewayFixture.h"
#include "platform/Objects.h"
#include "support/DecodedTarget.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;

namespace {

using PageFault = standin::StoreStandin::PageFault;

constexpr const char *Servers = "servers";

/** Of each kind of byte that means something in a target, in a field or in a line. */
const std::vector<std::string> OddNamesOfServers = {"a00%",
                                                    "a01%zz",
                                                    "a02&b=",
                                                    "a03+",
                                                    "a04%C3%A9",
                                                    "a05\xC3\xA9",
                                                    "a06#x",
                                                    "a07?y",
                                                    "a08 b",
                                                    "a09/b",
                                                    "a10\r\nHost: other",
                                                    "a11\x7f",
                                                    std::string(1024, 'x')};

std::vector<std::string> oddNames()
{
    std::vector<std::string> names = OddNamesOfServers;
    names.insert(names.end(),
                 {".", "..", "\xE2\x82\xAC", "\xF0\x9F\x98\x80", std::string("a\0b", 3)});
    for (int byte = 1; byte < 0x80; ++byte) {
        names.push_back(std::string("b") + static_cast<char>(byte) + "c");
    }
    return names;
}

/** How a name is shown in the output of a test. */
std::string shown(const std::string &name)
{
    return nlohmann::json(name.substr(0, 40))
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** A gateway whose store has objects with odd names among its servers, one object a page. */
struct OddNames : support::GatewayFixture
{
    OddNames() { putConfiguration(configuration(1)); }

    /** Lists a server that stands in front of the sound ones. */
    void listOdd(const std::string &name)
    {
        store().put(Servers, name, entryOf(runner(0), "other"));
    }

    void listSound()
    {
        list(runner(0), "pool");
        list(runner(1), "pool");
    }

    void startAndLearn()
    {
        store().pageSize = 1;
        start();
        until([this] { return ready() && known(runner(0).name()) && known(runner(1).name()); },
              "readiness with all sound servers");
    }

    /** The store fails, so that the box reads its lists again. */
    void interruptStore()
    {
        const std::uint64_t before = failures();
        store().faults.status = 503;
        until([&] { return failures() > before; }, "a failure");
        store().faults.status = 0;
    }

    std::uint64_t failures()
    {
        return context().counters.value("store_failures", {{"kind", Servers}});
    }

    std::uint64_t partialLists()
    {
        return context().counters.value("lists_partial", {{"kind", Servers}});
    }

    bool known(const std::string &id)
    {
        return context().kernel.find<gateway::FleetView>("world").servers().find(id).has_value();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(OddNameTest)

// Guards against a name that goes into a target as it is: the store reads another name, or refuses.
BOOST_AUTO_TEST_CASE(targets_oddName_isReadAsWritten)
{
    const store::ObjectFormat format = platform::objectFormat();
    for (const std::string &name : oddNames()) {
        const auto list = support::decodeTarget(format.listTarget(Servers, name));
        BOOST_TEST_CONTEXT(shown(name))
        {
            BOOST_REQUIRE(list.has_value());
            BOOST_TEST((list->query == std::map<std::string, std::string>{{"after_rev", name}}));
            BOOST_TEST(list->segments.back() == Servers);
            const auto object = support::decodeTarget(format.objectTarget(Servers, name));
            BOOST_REQUIRE(object.has_value());
            BOOST_TEST(object->segments.back() == name);
            BOOST_TEST(object->segments.size() == list->segments.size() + 1);
            BOOST_TEST(object->query.empty());
        }
    }
}

// Guards against a list that can't be read past one name, so that a box that starts has no server.
BOOST_AUTO_TEST_CASE(list_oddNameEndsAPage_boxKnowsAllServers)
{
    for (const std::string &name : OddNamesOfServers) {
        BOOST_TEST_CONTEXT(shown(name))
        {
            OddNames fixture;
            fixture.listOdd(name);
            fixture.listSound();
            BOOST_CHECK_NO_THROW(fixture.startAndLearn());
        }
    }
}

// Guards against the same after all boxes have lost what they knew.
BOOST_FIXTURE_TEST_CASE(restart_namesOfTheRecord_boxServes, OddNames)
{
    for (const char *name : {"a00%", "a01%zz", "a02&b=", "a03+", "a04%C3%A9"}) {
        listOdd(name);
    }
    listSound();
    startAndLearn();
    BOOST_TEST(call(request("POST", "/again/x")).status == 200);
}

// Guards against a box that reads the same page for ever.
BOOST_FIXTURE_TEST_CASE(list_pageDoesNotAdvance_isGivenUp, OddNames)
{
    listOdd("a-stuck");
    listSound();
    store().pageSize = 1;
    store().faultsBehind["a-stuck"] = PageFault::FirstPage;
    start();
    until([this] { return partialLists() > 0U; }, "the end of the list");
    BOOST_TEST(context().counters.value("store_calls", {{"kind", Servers}}) <= 4U);
}

// Guards against a page of which nothing can be read that is taken for the end of the list, so that
// all servers behind it count as gone.
BOOST_FIXTURE_TEST_CASE(list_pageHasNoReadableName_serversBehindItStayKnown, OddNames)
{
    listSound();
    startAndLearn();
    store().putSpoilt(Servers, "i-p", {{"spec", entryOf(runner(0), "pool")}});
    interruptStore();
    const std::uint64_t before = failures();
    const auto unreadable = [this] {
        return context().counters.value("objects_unreadable", {{"kind", Servers}});
    };
    const auto ended = [&] { return failures() > before || partialLists() > 0U; };
    until([&] { return unreadable() > 0U && (ended() || !known("i-two")); },
          "the page that can't be read");
    BOOST_TEST(known("i-one"));
    BOOST_TEST(known("i-two"));
}

// Guards against a list that is given up for one name that the store rejects in any form.
BOOST_FIXTURE_TEST_CASE(list_storeRejectsTheLastNameOfAPage_goesOnBehindTheOneBefore, OddNames)
{
    listSound();
    store().put(Servers, "i-p", entryOf(runner(0), "other"));
    store().faultsBehind["i-p"] = PageFault::Refusal;
    store().pageSize = 2;
    start();
    until([this] { return ready(); }, "readiness");
    BOOST_TEST(known("i-one"));
    BOOST_TEST(known("i-p"));
    BOOST_TEST(known("i-two"));
    BOOST_TEST(partialLists() == 0U);
}

// Guards against a box without any server, as its list can't be read to its end.
BOOST_FIXTURE_TEST_CASE(list_cannotBeReadToItsEnd_boxServesWithWhatItHasRead, OddNames)
{
    listSound();
    store().put(Servers, "i-p", entryOf(runner(0), "other"));
    store().faultsBehind["i-p"] = PageFault::Refusal;
    store().pageSize = 1;
    start();
    until([this] { return ready(); }, "readiness");
    BOOST_TEST(call(request("POST", "/again/x")).status == 200);
    BOOST_TEST(partialLists() > 0U);
    store().put(Servers, "i-q", entryOf(runner(0), "other"));
    until([this] { return known("i-q"); }, "a server that came since");
    store().remove(Servers, "i-q");
    until([this] { return !known("i-q"); }, "the end of one that left since");
    BOOST_TEST(!known("i-two"));
    store().remove(Servers, "i-p");
    until([this] { return known("i-two"); }, "the whole list, once it can be read");
}

// Guards against servers that count as gone since a list could be read only in part.
BOOST_FIXTURE_TEST_CASE(list_cannotBeReadToItsEndAgain_knownServersStay, OddNames)
{
    listSound();
    startAndLearn();
    store().put(Servers, "i-p", entryOf(runner(0), "other"));
    store().faultsBehind["i-p"] = PageFault::Refusal;
    interruptStore();
    until([this] { return partialLists() > 0U; }, "a list in part");
    until([this] { return known("i-p"); }, "what was read of it");
    BOOST_TEST(known("i-two"));
    store().remove(Servers, "i-two");
    until([this] { return !known("i-two"); }, "the end of one that left since");
}

// Guards against a server that stays known for good, as it left between two lists in part.
BOOST_FIXTURE_TEST_CASE(list_serverLeftBeforeAListInPart_isGone, OddNames)
{
    listSound();
    startAndLearn();
    store().put(Servers, "i-p", entryOf(runner(0), "other"));
    store().put(Servers, "i-z", entryOf(runner(0), "other"));
    store().faultsBehind["i-p"] = PageFault::Refusal;
    const std::uint64_t before = failures();
    store().faults.status = 503;
    until([&] { return failures() > before; }, "a failure");
    store().remove(Servers, "i-two");
    store().faults.status = 0;
    until([this] { return partialLists() > 0U; }, "a list in part");
    until([this] { return !known("i-two"); }, "the end of the one that left");
}

// Guards against a part of a list that is read for ever, as the store has lost the history before.
BOOST_FIXTURE_TEST_CASE(list_historyIsLostBeforeAListInPart_changesAreFollowedFromTheListInPart,
                        OddNames)
{
    listSound();
    startAndLearn();
    store().put(Servers, "i-p", entryOf(runner(0), "other"));
    store().put(Servers, "i-z", entryOf(runner(0), "other"));
    store().faultsBehind["i-p"] = PageFault::Refusal;
    const std::uint64_t before = failures();
    store().faults.status = 503;
    until([&] { return failures() > before; }, "a failure");
    store().forgetHistory();
    store().faults.status = 0;
    until([this] { return partialLists() > 0U; }, "a list in part");
    store().put(Servers, "i-q", entryOf(runner(0), "other"));
    until([this] { return known("i-q"); }, "a server that came since");
}

// Guards against a server's id that ends its field and writes another one into each request.
BOOST_FIXTURE_TEST_CASE(servers_nameCannotStandInAField_areLeftOutAndTheOthersServe, OddNames)
{
    for (const std::string &name :
         {std::string("a\r\nX-Evil: 1"), std::string("a\nX-Evil: 1"), std::string("a\0b", 3),
          std::string("a\x01"), std::string("a\x7f"), std::string(" a"), std::string("a "),
          std::string(1000000, 'x')}) {
        store().put(Servers, name, entryOf(runner(0), "pool"));
    }
    list(runner(1), "pool");
    start();
    until([this] { return ready() && known("i-two"); }, "readiness with the sound server");
    BOOST_TEST(context().counters.value("servers_unreadable") == 8U);
    for (int number = 0; number < 20; ++number) {
        const http::Fields id = http::Fields().with("X-Attempt-Id", "a" + std::to_string(number));
        BOOST_TEST(call(request("POST", "/again/x", id)).status == 200);
    }
    BOOST_TEST(runner(0).records().empty());
}

// Guards against ids that are left out though they arrive as they were written.
BOOST_FIXTURE_TEST_CASE(servers_nameCanStandInAField_arrivesAsWritten, OddNames)
{
    for (const char *name : {"a% &+#?/=;b", "a\tb", "\xC3\xA9", "\x80\xFF"}) {
        store::StoredObject object;
        object.name = name;
        object.content = nlohmann::json::parse(entryOf(runner(0), "pool").dump());
        const auto entry = platform::readServer(object);
        BOOST_REQUIRE_MESSAGE(entry.has_value(), shown(name) << ": " << entry.error());
        BOOST_TEST(entry->server.id == name);
    }
}

// Guards against an organisation's name that does the same, and against a configuration that is
// left out as a whole for it.
BOOST_FIXTURE_TEST_CASE(organisation_nameCannotStandInAField_itsKeysAreNotKnown, OddNames)
{
    nlohmann::json spec = configuration(1);
    spec["tenants"].push_back(
            {{"name", "two\r\nX-Evil: 1"}, {"api_keys", nlohmann::json::array({"key-odd"})}});
    putConfiguration(spec);
    listSound();
    start();
    until([this] { return ready(); }, "readiness");
    BOOST_TEST(call(request("POST", "/again/x")).status == 200);
    const http::Fields odd = http::Fields().with("X-Api-Key", "key-odd");
    BOOST_TEST(call(request("POST", "/again/x", odd)).status == 401);
    for (const standin::RunnerStandin *one : {&runner(0), &runner(1)}) {
        for (const standin::RunnerRecord &record : one->records()) {
            BOOST_TEST(record.request.fields.get("X-Evil").empty());
        }
    }
    BOOST_TEST(context().counters.value("organisations_left_out") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
