// The platform's lists of boxes, backend servers and halls: one entry that another writer spoilt
// costs no other.

#include "store/Directory.h"

#include <boost/test/unit_test.hpp>

using namespace limereel;

namespace {

const char *const OddEntries[] = {"null",
                                  "7",
                                  R"("text")",
                                  "[]",
                                  "{}",
                                  R"({"name":"odd"})",
                                  R"({"name":7,"peer":"127.0.0.1:1","address":"127.0.0.1:1"})",
                                  R"({"name":"odd","peer":7,"address":7})",
                                  R"({"name":"odd","peer":"x","address":"x","leaving":"yes"})"};

std::string listOf(const std::string &boxes, const std::string &backends)
{
    return R"({"region":"r","boxes":[)" + boxes + R"(],"backends":[)" + backends + "]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(DirectoryTest)

// Guards against a list of boxes and servers that is left out as a whole for one odd entry.
BOOST_AUTO_TEST_CASE(hallList_oddEntry_othersAreKnown)
{
    const std::string box = R"({"name":"box-1","peer":"127.0.0.1:1"})";
    const std::string backend = R"({"name":"engine-1","address":"127.0.0.1:2"})";
    for (const std::string odd : OddEntries) {
        const auto list = store::hallListFromJson(listOf(odd + ',' + box, odd + ',' + backend));
        BOOST_TEST_REQUIRE(list.has_value(), odd);
        BOOST_TEST_REQUIRE(list->boxes.size() == 1U, odd);
        BOOST_TEST(list->boxes.front().box.text() == "box-1");
        BOOST_TEST_REQUIRE(list->backends.size() == 1U, odd);
        BOOST_TEST(list->backends.front().backend.text() == "engine-1");
        BOOST_TEST(list->unreadable == 2U, odd);
    }
}

BOOST_AUTO_TEST_CASE(hallList_isNone_isAnError)
{
    for (const char *text : {"", "{", "[]", "{}", R"({"boxes":7,"backends":[]})"}) {
        BOOST_TEST(!store::hallListFromJson(text).has_value(), text);
    }
}

// Guards against a name that keeps all other halls from being read, and against one that ends its
// target and writes a field.
BOOST_AUTO_TEST_CASE(hallNames_oddName_othersAreKnown)
{
    const char *const odd[] = {"7",        "null",    R"("")",    R"("a b")", R"("a\r\nHost: b")",
                               R"("a?b")", R"("a%")", R"("a/..")"};
    for (const std::string name : odd) {
        const auto names = store::hallNamesFromJson("[\"hall-a\"," + name + ",\"hall-b\"]");
        BOOST_TEST_REQUIRE(names.has_value(), name);
        BOOST_TEST((*names == std::vector<std::string>{"hall-a", "hall-b"}), name);
    }
    BOOST_TEST(!store::hallNamesFromJson("{}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
