// Whether a wait goes on after its time, decided from what the looks at the connection found.

#include "http/LateLooks.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using http::Arrived;

namespace {

/** One look and what follows from it. */
struct Look
{
    kernel::Duration at;
    std::uint64_t read;
    Arrived waiting;
    bool goesOn;
};

/** The looks of one wait. */
struct Looks
{
    const char *name;
    std::vector<Look> looks;
};

std::ostream &operator<<(std::ostream &out, const Looks &looks)
{
    return out << looks.name;
}

constexpr kernel::Duration Longest = 200ms;

const std::vector<Looks> Table = {
        {"nothing came", {{0ms, 0, Arrived::Nothing, false}}},
        {"what was read before the end doesn't count", {{0ms, 500, Arrived::Nothing, false}}},
        {"bytes wait and are all that comes",
         {{0ms, 0, Arrived::Bytes, true},
          {20ms, 500, Arrived::Nothing, true},
          {40ms, 500, Arrived::Nothing, false}}},
        {"bytes wait and nobody reads them",
         {{0ms, 0, Arrived::Bytes, true},
          {199ms, 0, Arrived::Bytes, true},
          {200ms, 0, Arrived::Bytes, false}}},
        {"bytes keep coming",
         {{0ms, 0, Arrived::Bytes, true},
          {100ms, 500, Arrived::Nothing, true},
          {200ms, 900, Arrived::Nothing, false}}},
        {"the process stands still again",
         {{0ms, 0, Arrived::Bytes, true}, {900ms, 500, Arrived::Bytes, false}}},
        {"another connection has brought less",
         {{0ms, 500, Arrived::Bytes, true}, {20ms, 0, Arrived::Nothing, false}}},
        {"the end is to be read", {{0ms, 0, Arrived::End, true}}},
        {"a broken connection brings nothing", {{0ms, 0, Arrived::Broken, false}}}};

} // namespace

BOOST_AUTO_TEST_SUITE(LateLooksTest)

BOOST_DATA_TEST_CASE(goOn_looksOfOneWait_goesOnOnlyWhileBytesCome,
                     boost::unit_test::data::make(Table), wait)
{
    http::LateLooks looks(Longest);
    const kernel::Instant first(5s);
    for (const Look &look : wait.looks) {
        const http::Heard heard{look.read, look.waiting};
        BOOST_TEST(looks.goOn(first + look.at, heard) == look.goesOn);
    }
}

BOOST_AUTO_TEST_SUITE_END()
