// Lists of the store of which one page can't be had, for whatever reason: what the other pages hold
// is used, as soon as a box starts.

#include "gateway/FleetView.h"
#include "platform/GatewayFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;

namespace {

using PageFault = standin::StoreStandin::PageFault;

constexpr const char *Servers = "servers";
// Between the two sound servers of the fixture.
constexpr const char *OddName = "i-p &+#%";

struct FaultRow
{
    const char *text;
    PageFault fault;
};

std::ostream &operator<<(std::ostream &out, const FaultRow &row)
{
    return out << row.text;
}

const std::vector<FaultRow> Faults = {{"400", PageFault::Refusal},
                                      {"404", PageFault::NotFound},
                                      {"429", PageFault::TooMany},
                                      {"500", PageFault::Failure},
                                      {"503", PageFault::Unavailable},
                                      {"reset", PageFault::Reset},
                                      {"answer cut off", PageFault::CutAnswer},
                                      {"silence", PageFault::Silence},
                                      {"no page", PageFault::NoPage},
                                      {"the first page", PageFault::FirstPage}};

/** A gateway, two sound servers, and an entry with an odd name between them. */
struct UnreadablePage : support::GatewayFixture
{
    UnreadablePage()
    {
        putConfiguration(configuration(1));
        list(runner(0), "pool");
        list(runner(1), "pool");
    }

    void listOdd(const std::string &name)
    {
        store().put(Servers, name, entryOf(runner(0), "other"));
    }

    bool known(const std::string &id)
    {
        return context().kernel.find<gateway::FleetView>("world").servers().find(id).has_value();
    }

    bool knowsBoth() { return known(runner(0).name()) && known(runner(1).name()); }

    std::uint64_t counted(const char *name)
    {
        return context().counters.value(name, {{"kind", Servers}});
    }

    /** The store fails, so that the box reads its lists again. */
    void interruptStore()
    {
        const std::uint64_t before = counted("store_failures");
        store().faults.status = 503;
        until([&] { return counted("store_failures") > before; }, "a failure");
        store().faults.status = 0;
    }

    int statusOfCall() { return call(request("POST", "/again/x")).status; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UnreadablePageTest, UnreadablePage)

// Guards against a page that costs all the others, as the store can't list behind an odd name.
BOOST_DATA_TEST_CASE_F(UnreadablePage, oddNameEndsAPageOfTwo_boxStarts_knowsAllServers,
                       boost::unit_test::data::make(Faults), row)
{
    listOdd(OddName);
    store().pageSize = 2;
    store().faultsBehind[OddName] = row.fault;
    start();
    until([this] { return ready() && knowsBoth(); }, "readiness with all sound servers");
    BOOST_TEST(counted("lists_partial") == 0U);
    BOOST_TEST(statusOfCall() == 200);
}

// Guards against servers that are never read, as the odd name is the only one of its page.
BOOST_DATA_TEST_CASE_F(UnreadablePage, oddNameIsAPageOfItsOwn_boxStarts_knowsAllServers,
                       boost::unit_test::data::make(Faults), row)
{
    listOdd(OddName);
    store().pageSize = 1;
    store().faultsBehind[OddName] = row.fault;
    start();
    until([this] { return ready() && knowsBoth(); }, "readiness with all sound servers");
    BOOST_TEST(counted("lists_partial") > 0U);
    BOOST_TEST(statusOfCall() == 200);
}

// Guards against pages that were read and aren't used, where nothing helps past the next one.
BOOST_DATA_TEST_CASE_F(UnreadablePage, listEndsBehindAPlainName_boxStarts_servesWithWhatItHasRead,
                       boost::unit_test::data::make(Faults), row)
{
    store().pageSize = 1;
    store().faultsBehind[runner(0).name()] = row.fault;
    start();
    until([this] { return ready(); }, "readiness");
    BOOST_TEST(statusOfCall() == 200);
    BOOST_TEST(!known(runner(1).name()));
    store().faultsBehind.clear();
    until([this] { return knowsBoth(); }, "the whole list, once it can be read");
}

// Guards against a box that drops what it knows, or follows no changes, for a page it can't read.
BOOST_DATA_TEST_CASE_F(UnreadablePage, listEndsBehindAPlainName_boxThatKnowsAll_followsChanges,
                       boost::unit_test::data::make(Faults), row)
{
    store().pageSize = 1;
    start();
    until([this] { return ready() && knowsBoth(); }, "readiness with all sound servers");
    store().faultsBehind[runner(0).name()] = row.fault;
    interruptStore();
    until([this] { return counted("lists_partial") > 0U; }, "a list in part");
    BOOST_TEST(knowsBoth());
    store().put(Servers, "i-z", entryOf(runner(0), "other"));
    until([this] { return known("i-z"); }, "a server that came since");
    store().remove(Servers, runner(1).name());
    until([this] { return !known(runner(1).name()); }, "the end of one that left since");
    BOOST_TEST(known(runner(0).name()));
}

// Guards against a list that is given up among many odd names in a row.
BOOST_AUTO_TEST_CASE(tenOddNamesEndAPage_boxStarts_knowsAllServers)
{
    for (const std::size_t pageSize : {11U, 3U, 1U}) {
        BOOST_TEST_CONTEXT("pages of " << pageSize)
        {
            UnreadablePage fixture;
            for (char letter = 'a'; letter < 'k'; ++letter) {
                const std::string name = std::string("i-p") + letter + "%";
                fixture.listOdd(name);
                fixture.store().faultsBehind[name] = PageFault::Failure;
            }
            fixture.store().pageSize = pageSize;
            fixture.start();
            BOOST_CHECK_NO_THROW(
                    fixture.until([&] { return fixture.ready() && fixture.knowsBoth(); },
                                  "readiness with all sound servers"));
        }
    }
}

// Guards against a box that uses nothing, or follows no changes, while it waits at one odd name
// after the other.
BOOST_AUTO_TEST_CASE(storeIsSilentBehindManyOddNames_boxStarts_servesAndFollowsChanges)
{
    for (char letter = 'a'; letter <= 'z'; ++letter) {
        const std::string name = std::string("i-p") + letter + "%";
        listOdd(name);
        store().faultsBehind[name] = PageFault::Silence;
    }
    store().pageSize = 1;
    start();
    until([this] { return ready(); }, "readiness");
    BOOST_TEST(counted("lists_partial") == 0U);
    BOOST_TEST(statusOfCall() == 200);
    until([this] { return counted("lists_partial") > 0U; }, "the end of the list");
    store().put(Servers, "i-z", entryOf(runner(0), "other"));
    until([this] { return known("i-z"); }, "a server that came since");
}

// Guards against a store that takes the escapes of a name for the name.
BOOST_AUTO_TEST_CASE(storeDecodesNothing_boxStarts_knowsAllServers)
{
    for (const std::size_t pageSize : {2U, 1U}) {
        BOOST_TEST_CONTEXT("pages of " << pageSize)
        {
            UnreadablePage fixture;
            for (const char *name : {"a00%", "a02&b=", "a03+", "a04%C3%A9", "a06#x", "a08 b"}) {
                fixture.listOdd(name);
            }
            fixture.store().decodesNothing = true;
            fixture.store().pageSize = pageSize;
            fixture.start();
            BOOST_CHECK_NO_THROW(
                    fixture.until([&] { return fixture.ready() && fixture.knowsBoth(); },
                                  "readiness with all sound servers"));
        }
    }
}

// Guards against a box that says it is ready and knows no server.
BOOST_AUTO_TEST_CASE(listInPartNamesNoServer_boxStarts_isReadyOnceItKnowsOne)
{
    store().put(Servers, "a", "no server");
    store().pageSize = 1;
    store().faultsBehind["a"] = PageFault::Refusal;
    start();
    until([this] { return counted("lists_partial") > 0U; }, "a list in part");
    BOOST_TEST(!ready());
    store().put(Servers, "i-three", entryOf(runner(0), "pool"));
    until([this] { return ready(); }, "readiness with a server that came since");
}

// Guards against a configuration that isn't read, as another entry stands before it.
BOOST_DATA_TEST_CASE_F(UnreadablePage, oddNameBeforeTheConfiguration_boxStarts_serves,
                       boost::unit_test::data::make(Faults), row)
{
    store().put("config", OddName, "no configuration");
    store().pageSize = 1;
    store().faultsBehind[OddName] = row.fault;
    start();
    until([this] { return ready() && knowsBoth(); }, "readiness");
    BOOST_TEST(statusOfCall() == 200);
    putConfiguration(configuration(2));
    until(
            [this] {
                const auto &view = context().kernel.find<gateway::FleetView>("world");
                return view.snapshot() && view.snapshot()->version() == 2;
            },
            "the next configuration");
}

// Guards against a drain of a hall that isn't read, as another entry stands before it.
BOOST_DATA_TEST_CASE_F(UnreadablePage, oddNameBeforeTheDrainOfAHall_boxStarts_drainsIt,
                       boost::unit_test::data::make(Faults), row)
{
    moreSettings = "hall-drain-within = 5s\n";
    const std::string kind = adapter.hallDrainKind;
    store().put(kind, "%odd", "none");
    store().put(kind, "hall-z", nlohmann::json::object());
    store().pageSize = 1;
    store().faultsBehind["%odd"] = row.fault;
    start();
    until([this] { return context().counters.value("halls_drained") == 1U; }, "the drain");
}

BOOST_AUTO_TEST_SUITE_END()
