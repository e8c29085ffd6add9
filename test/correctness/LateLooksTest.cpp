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
constexpr kernel::Duration Between = 20ms;
constexpr kernel::Duration LongestCounted = 40ms;

/** Looks that follow each other every \c Between for \c Longest, and the one that ends the wait;
 * \a read bytes more are read before each. */
std::vector<Look> untilTheTimeIsUp(std::uint64_t read, Arrived waiting)
{
    std::vector<Look> looks;
    std::uint64_t sum = 0;
    for (kernel::Duration at{}; at < Longest; at += Between) {
        looks.push_back({at, sum, waiting, true});
        sum += read;
    }
    looks.push_back({Longest, sum, waiting, false});
    return looks;
}

const std::vector<Looks> Table = {
        {"nothing came", {{0ms, 0, Arrived::Nothing, false}}},
        {"what was read before the end doesn't count", {{0ms, 500, Arrived::Nothing, false}}},
        {"bytes wait and are all that comes",
         {{0ms, 0, Arrived::Bytes, true},
          {20ms, 500, Arrived::Nothing, true},
          {40ms, 500, Arrived::Nothing, false}}},
        {"bytes wait and nobody reads them", untilTheTimeIsUp(0, Arrived::Bytes)},
        {"bytes keep coming", untilTheTimeIsUp(500, Arrived::Bytes)},
        {"the process stands still again, and bytes wait",
         {{0ms, 0, Arrived::Bytes, true}, {900ms, 500, Arrived::Bytes, true}}},
        {"the process stands still again, and nothing comes",
         {{0ms, 0, Arrived::Bytes, true}, {900ms, 0, Arrived::Nothing, false}}},
        {"the process stands still between all looks",
         {{0s, 0, Arrived::Bytes, true},
          {1s, 500, Arrived::Bytes, true},
          {2s, 1000, Arrived::Bytes, true},
          {3s, 1500, Arrived::Bytes, true},
          {4s, 2000, Arrived::Bytes, true},
          {5s, 2500, Arrived::Bytes, false}}},
        {"another connection has brought less",
         {{0ms, 500, Arrived::Bytes, true}, {20ms, 0, Arrived::Nothing, false}}},
        {"the end is to be read", {{0ms, 0, Arrived::End, true}}},
        {"a broken connection brings nothing", {{0ms, 0, Arrived::Broken, false}}}};

/** A second standstill, after the one over which the wait's time ran out. */
struct Standstill
{
    kernel::Duration after; ///< The first look.
    kernel::Duration length;
    int parts; ///< Of the answer, which lies in the socket; the loop reads one between two looks.
};

std::ostream &operator<<(std::ostream &out, const Standstill &standstill)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return out << duration_cast<milliseconds>(standstill.length).count() << " ms after "
               << duration_cast<milliseconds>(standstill.after).count() << " ms, "
               << standstill.parts << " parts";
}

std::vector<Standstill> everyStandstill()
{
    std::vector<Standstill> all;
    for (int look = 0; look < Longest / Between; ++look) {
        for (const kernel::Duration length : {0ms, 50ms, 150ms, 300ms, 700ms, 1500ms}) {
            // An answer that is read before the standstill begins isn't held up by it.
            const int fewest = look + 1;
            for (int parts = fewest; parts < Longest / Between - 2; ++parts) {
                all.push_back({Between * look, length, parts});
            }
        }
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LateLooksTest)

// A second standstill within the looks used up their time, and an answer that lay in the socket was
// given up.
BOOST_DATA_TEST_CASE(goOn_secondStandstillWhileAnAnswerIsRead_goesOnUntilItIs,
                     boost::unit_test::data::make(everyStandstill()), standstill)
{
    http::LateLooks looks(Longest, LongestCounted);
    kernel::Instant now(5s);
    kernel::Duration ran{};
    for (int read = 0; read < standstill.parts; ++read) {
        const http::Heard heard{static_cast<std::uint64_t>(read), Arrived::Bytes};
        BOOST_TEST(looks.goOn(now, heard));
        now += Between;
        if (ran == standstill.after) {
            now += standstill.length;
        }
        ran += Between;
    }
}

BOOST_DATA_TEST_CASE(goOn_looksOfOneWait_goesOnOnlyWhileBytesCome,
                     boost::unit_test::data::make(Table), wait)
{
    http::LateLooks looks(Longest, LongestCounted);
    const kernel::Instant first(5s);
    for (const Look &look : wait.looks) {
        const http::Heard heard{look.read, look.waiting};
        BOOST_TEST(looks.goOn(first + look.at, heard) == look.goesOn);
    }
}

BOOST_AUTO_TEST_SUITE_END()
