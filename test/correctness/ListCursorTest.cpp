// Where the reading of a list in pages goes on, judged by what its pages add.

#include "store/ListCursor.h"
#include "store/ListWait.h"

#include <boost/test/unit_test.hpp>

using namespace limereel::store;

namespace {

ObjectPage page(const std::vector<std::string> &names, bool more)
{
    ObjectPage made;
    made.more = more;
    for (const std::string &name : names) {
        StoredObject object;
        object.name = name;
        made.objects.push_back(std::move(object));
    }
    return made;
}

std::vector<std::string> namesOf(const ObjectPage &page)
{
    std::vector<std::string> names;
    for (const StoredObject &object : page.objects) {
        names.push_back(object.name);
    }
    return names;
}

struct ListCursorFixture
{
    ListProgress take(const std::vector<std::string> &names, bool more)
    {
        taken = page(names, more);
        return cursor.take(taken);
    }

    ListCursor cursor;
    ObjectPage taken;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ListCursorTest, ListCursorFixture)

BOOST_AUTO_TEST_CASE(take_pageWithMore_goesOnBehindItsLastName)
{
    BOOST_TEST(cursor.after().empty());
    BOOST_TEST((take({"a", "b"}, true) == ListProgress::Reading));
    BOOST_TEST(cursor.after() == "b");
    BOOST_TEST((take({"c"}, false) == ListProgress::Complete));
    BOOST_TEST(cursor.read() == 3U);
}

BOOST_AUTO_TEST_CASE(take_emptyList_isComplete)
{
    BOOST_TEST((take({}, false) == ListProgress::Complete));
}

// Guards against a page that is read for ever. The store may take the last name for another one, so
// the name before it is tried.
BOOST_AUTO_TEST_CASE(take_samePageAgainAndAgain_isPartial)
{
    take({"a", "b"}, true);
    BOOST_TEST((take({"a", "b"}, true) == ListProgress::Reading));
    BOOST_TEST(taken.objects.empty());
    BOOST_TEST(cursor.after() == "a");
    BOOST_TEST((take({"a", "b"}, true) == ListProgress::Partial));
}

// Guards against an object that is held twice, as a page began before the name that was asked for.
BOOST_AUTO_TEST_CASE(take_pageOverlaps_onlyWhatIsNewIsLeft)
{
    take({"a", "b"}, true);
    BOOST_TEST((take({"b", "c"}, true) == ListProgress::Reading));
    BOOST_TEST(namesOf(taken) == std::vector<std::string>{"c"});
    BOOST_TEST(cursor.after() == "c");
    BOOST_TEST(cursor.read() == 3U);
}

// Guards against a page of which no name can be read that is taken for the end of the list.
BOOST_AUTO_TEST_CASE(take_pageWithoutNamesAndMore_isPartial)
{
    take({"a"}, true);
    BOOST_TEST((take({}, true) == ListProgress::Partial));
}

// Guards against a list that is given up for one name that the store rejects.
BOOST_AUTO_TEST_CASE(reject_pageHadOthers_goesOnBehindTheOneBefore)
{
    take({"a", "b", "c"}, true);
    BOOST_TEST((cursor.fail(PageFault::Rejected) == ListProgress::Reading));
    BOOST_TEST(cursor.after() == "b");
    BOOST_TEST((take({"c", "d", "e"}, true) == ListProgress::Reading));
    BOOST_TEST((namesOf(taken) == std::vector<std::string>{"d", "e"}));
}

BOOST_AUTO_TEST_CASE(reject_onlyNameOfItsPage_isPartial)
{
    take({"a", "b"}, true);
    take({"c"}, true);
    BOOST_TEST((cursor.fail(PageFault::Rejected) == ListProgress::Partial));
}

// Guards against a list that is given up among many odd names, and against a call for each of them.
BOOST_AUTO_TEST_CASE(reject_allNamesOfAPage_comesToTheFirstInFewSteps)
{
    constexpr int Names = 500;
    constexpr int MaxSteps = 6;
    std::vector<std::string> names;
    for (int number = 0; number < Names; ++number) {
        names.push_back("i-" + std::to_string(1000 + number));
    }
    take(names, true);
    int steps = 0;
    while (cursor.after() != names.front()) {
        BOOST_TEST_REQUIRE(++steps <= MaxSteps);
        BOOST_TEST((cursor.fail(PageFault::Rejected) == ListProgress::Reading));
    }
    BOOST_TEST((cursor.fail(PageFault::Rejected) == ListProgress::Partial));
}

// Guards against a name that is given up as the store failed once.
BOOST_AUTO_TEST_CASE(fail_plainName_isAskedForOnceMore)
{
    take({"a", "b"}, true);
    BOOST_TEST(!cursor.blamesName(PageFault::Failed));
    BOOST_TEST((cursor.fail(PageFault::Failed) == ListProgress::Reading));
    BOOST_TEST(cursor.after() == "b");
    BOOST_TEST((cursor.fail(PageFault::Failed) == ListProgress::Reading));
    BOOST_TEST(cursor.after() == "a");
    BOOST_TEST((cursor.fail(PageFault::Failed) == ListProgress::Partial));
}

// Guards against a list that is given up, or read twice, as many boxes keep the store busy.
BOOST_AUTO_TEST_CASE(fail_storeIsBusy_plainNameIsAskedForAgain)
{
    take({"a", "b"}, true);
    for (int time = 0; time < 100; ++time) {
        BOOST_TEST((cursor.fail(PageFault::Busy) == ListProgress::Reading));
        BOOST_TEST(cursor.after() == "b");
    }
}

// Guards against a box that starts and waits, though another name can be asked for at once.
BOOST_AUTO_TEST_CASE(fail_nameThatATargetMustEscape_isLeftAtOnce)
{
    for (const char *name : {"b%", "b&c", "b+", "b#", "b c", "b/", "b\xC3\xA9", "b\x01"}) {
        cursor = ListCursor();
        take({"a", name}, true);
        BOOST_TEST(cursor.blamesName(PageFault::Failed), name);
        BOOST_TEST((cursor.fail(PageFault::Failed) == ListProgress::Reading));
        BOOST_TEST(cursor.after() == "a");
    }
}

// Guards against objects that are never read, as the name before them can't be asked for.
BOOST_AUTO_TEST_CASE(fail_oddNameIsAPageOfItsOwn_goesOnBehindItAndIsPartial)
{
    take({"a"}, true);
    take({"b%"}, true);
    BOOST_TEST((cursor.fail(PageFault::Failed) == ListProgress::Reading));
    BOOST_TEST(cursor.after() == "b-");
    BOOST_TEST((take({"c"}, true) == ListProgress::Reading));
    BOOST_TEST((take({"d"}, false) == ListProgress::Partial));
    BOOST_TEST(cursor.read() == 4U);
}

// Guards against a list that goes on for ever behind names that were made up.
BOOST_AUTO_TEST_CASE(fail_nothingBehindTheMadeUpName_isPartial)
{
    take({"a%"}, true);
    BOOST_TEST((take({"a%"}, true) == ListProgress::Reading));
    BOOST_TEST((take({"a%"}, true) == ListProgress::Partial));
}

// Guards against a made-up name that passes over more than it must, or needs an escape itself.
BOOST_AUTO_TEST_CASE(plainNameBehind_anyName_followsItClosely)
{
    const std::pair<const char *, const char *> rows[] = {
            {"a00%", "a00-"},  {"a02&b=", "a02-"}, {"a03+", "a03-"},       {"a06#x", "a06-"},
            {"a08 b", "a08-"}, {"a09/b", "a090"},  {"a:", "aA"},           {"a[b", "a_"},
            {"a`", "aa"},      {"a{", "a~"},       {"a04\xC3\xA9", "a05"}, {"a9\x7f", "aA"},
            {"a~\xC3", "b"},   {"%", "-"},         {"i-p &+#%", "i-p-"}};
    for (const auto &[name, behind] : rows) {
        BOOST_TEST_REQUIRE(plainNameBehind(name).has_value(), name);
        BOOST_TEST(*plainNameBehind(name) == behind);
        BOOST_TEST((std::string(name) < std::string(behind)));
    }
    BOOST_TEST(!plainNameBehind("a-plain.name_~9").has_value());
    BOOST_TEST(!plainNameBehind("\xC3\xA9").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RelistPauseTest)

// Guards against a list that stays one in part long after its trouble is over, and against boxes
// that ask for such lists without pause.
BOOST_AUTO_TEST_CASE(relistPause_troubleLasts_growsWithItUpToAMinute)
{
    using namespace std::chrono_literals;
    std::mt19937_64 random(1);
    for (int play = 0; play < 1000; ++play) {
        BOOST_TEST((relistPause(0s, true, random) >= 250ms));
        BOOST_TEST((relistPause(0s, true, random) <= 500ms));
        BOOST_TEST((relistPause(5s, true, random) < 1s));
        BOOST_TEST((relistPause(24h, true, random) >= 30s));
        BOOST_TEST((relistPause(24h, true, random) <= 60s));
    }
}

// Guards against a fleet of 985 boxes, with lists of twenty pages of which only a part is had, that
// asks for more pages in a minute than the store gives, 2,000 a second.
BOOST_AUTO_TEST_CASE(relistPause_wholeFleetHasAPart_staysWithinTheStoresRate)
{
    using namespace std::chrono_literals;
    constexpr int Boxes = 985;
    constexpr int Relays = 22;
    constexpr int Pages = 20;
    constexpr int PagesAMinute = 2000 * 60;
    std::mt19937_64 random(1);
    int pages = 0;
    for (int box = 0; box < Boxes; ++box) {
        const bool relay = box < Relays;
        limereel::kernel::Duration passed = relistPause(0s, relay, random);
        while (passed < 60s) {
            pages += Pages;
            passed += relistPause(passed, relay, random);
        }
    }
    BOOST_TEST(pages < PagesAMinute);
}

BOOST_AUTO_TEST_SUITE_END()
