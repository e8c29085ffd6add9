// A box closed connections with requests on them after its loop had stood still for 0.7 s: it read
// one configuration of 4,450 routes meanwhile. Large answers of the store are read in slices now,
// and these must read what is read in one go.

#include "http/JsonSlices.h"
#include "http/JsonBody.h"

#include <bit>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace limereel;
using nlohmann::json;

namespace {

std::string routes(int count)
{
    json list = json::array();
    for (int number = 0; number < count; ++number) {
        list.push_back({{"name", "r-" + std::to_string(number)},
                        {"path_prefix", "/\"[{\\" + std::to_string(number) + "/"},
                        {"timeout_ms", 1200.5},
                        {"split", json::array({{{"weight", -1}}, nullptr, true})}});
    }
    const json spec = {{"version", 7}, {"routes", list}, {"limits", json::object()}};
    const json event = {{"object", {{"metadata", {{"name", "main"}}}, {"spec", spec}}},
                        {"gone", false}};
    return json{{"events", json::array({event})}, {"at", 9}}.dump();
}

json readInSlices(std::string_view text)
{
    http::JsonSlices slices(text);
    while (slices.readSlice()) {
    }
    return slices.take();
}

void requireSame(const std::string &text)
{
    const json expected = http::parseBody(text);
    const json read = readInSlices(text);
    BOOST_REQUIRE(read.is_discarded() == expected.is_discarded());
    BOOST_REQUIRE((expected.is_discarded() || read == expected));
}

/** A large text whose first slice ends \a place bytes after the beginning of \a value. */
std::string splitAt(const std::string &value, std::size_t place)
{
    constexpr std::size_t SliceBytes = 32768;
    return '[' + std::string(SliceBytes - 1 - place, ' ') + value + ']' + std::string(200, ' ');
}

/** Reads \a value with the end of a slice before, in and after it. Kinds of numbers count, and the
 * last bit of their fractions. */
void requireSameWhereverSplit(const std::string &value)
{
    for (std::size_t place = 0; place <= value.size() + 1; ++place) {
        const std::string text = splitAt(value, place);
        const json expected = http::parseBody(text);
        const json read = readInSlices(text);
        BOOST_REQUIRE(read.is_discarded() == expected.is_discarded());
        if (!expected.is_discarded()) {
            BOOST_REQUIRE(read.at(0).type() == expected.at(0).type());
            BOOST_REQUIRE(read.dump() == expected.dump());
        }
    }
}

/** Changes some bytes of \a text, or cuts it off. */
std::string mutate(std::string text, std::mt19937_64 &random)
{
    constexpr std::string_view Letters("{}[]\":,0-\\ \n\0\xef\xbb\xbftf", 18);
    const auto changes = 1 + random() % 3;
    for (std::uint64_t change = 0; change < changes; ++change) {
        const std::size_t place = random() % text.size();
        switch (random() % 8) {
        case 0:
            text.resize(place + 1);
            break;
        case 1:
        case 2:
            text.erase(place, 1);
            break;
        case 3:
        case 4:
            text[place] = Letters[random() % Letters.size()];
            break;
        default:
            text.insert(place, 1, Letters[random() % Letters.size()]);
            break;
        }
    }
    return text;
}

} // namespace

BOOST_AUTO_TEST_CASE(slices_largeText_isReadInManyOfThem)
{
    const std::string text = routes(4000);
    http::JsonSlices slices(text);
    std::size_t count = 1;
    while (slices.readSlice()) {
        ++count;
    }
    // None reads much more than 32 KB.
    BOOST_TEST(count >= text.size() / 40000);
    BOOST_REQUIRE(slices.take() == json::parse(text));
}

BOOST_AUTO_TEST_CASE(slices_smallText_isReadAtOnce)
{
    http::JsonSlices slices(R"({"events":[],"at":9})");
    BOOST_TEST(!slices.readSlice());
    BOOST_TEST(slices.take().at("at") == 9);
}

BOOST_AUTO_TEST_CASE(slices_changedTexts_readWhatIsReadInOneGo)
{
    std::mt19937_64 random(5);
    const std::string whole = routes(500);
    BOOST_REQUIRE(whole.size() > 32768);
    requireSame(whole);
    requireSame(json::parse(whole).dump(2));
    for (int round = 0; round < 1500; ++round) {
        requireSame(mutate(whole, random));
    }
}

// Most changes in the middle of a large text fall into its routes; these strike what is around
// them.
BOOST_AUTO_TEST_CASE(slices_changesOutsideOfTheRoutes_readWhatIsReadInOneGo)
{
    const std::string list = '[' + std::string(40000, ' ') + "1,\"\\\"]\",{}]";
    const std::vector<std::string> texts{"{\"a\":" + list + "}",
                                         "{\"a\":" + list + ",\"a\":2}",
                                         "{\"a\":1,\"a\":" + list + "}",
                                         "{\"a\":" + list + ",}",
                                         "{\"a\"" + list + "}",
                                         "{a:" + list + "}",
                                         "{1:" + list + "}",
                                         "[" + list + ",]",
                                         "[," + list + "]",
                                         "[" + list + " " + list + "]",
                                         list + list,
                                         list + "x",
                                         " \n" + list + "\t ",
                                         "[" + list + "}",
                                         "{\"a\":" + list + "]",
                                         "[" + list,
                                         "{\"a\":" + list + ",\"b\"",
                                         "{\"a\":" + list + ",\"b\":",
                                         "]" + list,
                                         list + "]",
                                         std::string(40000, '['),
                                         std::string(40000, ' '),
                                         '"' + std::string(40000, 'x') + '"',
                                         "[" + list + ",nul]",
                                         "[" + list + ",1 2]",
                                         "[" + list + ",\"\\ud800\"]",
                                         "\xef\xbb\xbf" + list,
                                         "[\xef\xbb\xbf" + list + "]",
                                         list + std::string(1, '\0')};
    for (const std::string &text : texts) {
        requireSame(text);
    }
}

BOOST_AUTO_TEST_CASE(slices_nestedTexts_areReadDownToTheDepthOfAll)
{
    for (const int depth : {1, 62, 63, 64, 65, 200}) {
        const auto open = static_cast<std::size_t>(depth);
        const std::string space(40000, ' ');
        requireSame(std::string(open, '[') + space + std::string(open, ']'));
        requireSame(space + std::string(open, '[') + std::string(open, ']'));
        requireSame("[" + space + "," + std::string(open, '[') + std::string(open, ']') + "]");
        requireSame("[1" + space + "," + std::string(open, '[') + std::string(open, ']') + "]");
    }
}

BOOST_AUTO_TEST_CASE(slices_numbers_areReadToTheLastBit)
{
    for (const char *number : {"0",
                               "-0",
                               "-0.0",
                               "-1",
                               "1E+5",
                               "1e-5",
                               "0.1",
                               "-1200.5e-3",
                               "1e400",
                               "-1e400",
                               "1e-400",
                               "4.9e-324",
                               "2.2250738585072011e-308",
                               "1.7976931348623157e308",
                               "9223372036854775807",
                               "9223372036854775808",
                               "-9223372036854775808",
                               "-9223372036854775809",
                               "18446744073709551615",
                               "18446744073709551616",
                               "123456789012345678901234567890.5",
                               "0.0000000000000000000000000000000000012345678901234567",
                               "01",
                               "1.",
                               ".5",
                               "+1",
                               "-",
                               "1e",
                               "1e+",
                               "NaN"}) {
        requireSameWhereverSplit(number);
    }
    std::mt19937_64 random(7);
    for (int round = 0; round < 50; ++round) {
        const double number = std::bit_cast<double>(random());
        if (std::isfinite(number)) {
            requireSameWhereverSplit(json(number).dump());
        }
    }
}

// Numbers with exponents beyond 32 bits are refused, also those that are nearly nothing.
BOOST_AUTO_TEST_CASE(slices_exponentsBeyond32Bits_areReadAsInOneGoOrRefused)
{
    for (const std::string number :
         {"0e99999999999", "1e99999999999", "1e-99999999999", "-1.5E+2147483648"}) {
        for (std::size_t place = 0; place <= number.size() + 1; ++place) {
            const std::string text = splitAt(number, place);
            const json read = readInSlices(text);
            BOOST_REQUIRE((read.is_discarded() || read == http::parseBody(text)));
        }
    }
}

BOOST_AUTO_TEST_CASE(slices_strings_areReadWhereverTheyAreSplit)
{
    for (const char *string :
         {R"("plain")", R"("")", R"("\u00e9\u20AC\ud83d\ude00")", R"("a\"b\\c\/\b\f\n\r\t")",
          R"("\u0000")", R"({"\u006bey\n":"value","key":[true,false,null]})",
          "\"\xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80\xef\xbb\xbf\x7f\"", "{\"\xf4\x8f\xbf\xbf\":1}",
          // These are none.
          R"("\ud83d")", R"("\ude00")", R"("\ud83d\u0041")", R"("\ud83dx")", R"("\x")",
          R"("\u12g4")", "\"\xed\xa0\x80\"", "\"\xc0\x80\"", "\"\xe0\x9f\x80\"",
          "\"\xf4\x90\x80\x80\"", "\"\xe2\x82\"", "\"\xff\"", "\"\x1f\"", "\"\n\"", "'a'", "/*a*/1",
          "1//a\n"}) {
        requireSameWhereverSplit(string);
    }
}
