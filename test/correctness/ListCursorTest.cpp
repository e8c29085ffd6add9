// Where the reading of a list in pages goes on, judged by what its pages add.

#include "store/ListCursor.h"

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

// Guards against a page that is read for ever.
BOOST_AUTO_TEST_CASE(take_samePageAgain_isStuck)
{
    take({"a", "b"}, true);
    BOOST_TEST((take({"a", "b"}, true) == ListProgress::Stuck));
    BOOST_TEST(taken.objects.empty());
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
BOOST_AUTO_TEST_CASE(take_pageWithoutNamesAndMore_isStuck)
{
    take({"a"}, true);
    BOOST_TEST((take({}, true) == ListProgress::Stuck));
}

// Guards against a list that is given up for one name that the store rejects.
BOOST_AUTO_TEST_CASE(refuse_pageHadOthers_goesOnBehindTheOneBefore)
{
    take({"a", "b", "c"}, true);
    BOOST_TEST((cursor.refuse() == ListProgress::Reading));
    BOOST_TEST(cursor.after() == "b");
    BOOST_TEST((take({"c", "d", "e"}, true) == ListProgress::Reading));
    BOOST_TEST((namesOf(taken) == std::vector<std::string>{"d", "e"}));
}

BOOST_AUTO_TEST_CASE(refuse_onlyNameOfItsPage_isStuck)
{
    take({"a", "b"}, true);
    take({"c"}, true);
    BOOST_TEST((cursor.refuse() == ListProgress::Stuck));
}

BOOST_AUTO_TEST_CASE(refuse_manyNames_isStuckAfterEight)
{
    take(std::vector<std::string>{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k"}, true);
    for (int step = 0; step < 8; ++step) {
        BOOST_TEST((cursor.refuse() == ListProgress::Reading));
    }
    BOOST_TEST((cursor.refuse() == ListProgress::Stuck));
}

BOOST_AUTO_TEST_SUITE_END()
