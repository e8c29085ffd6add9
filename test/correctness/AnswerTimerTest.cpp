// A wait for an answer that was ended although the answer was read already.
//
// How it comes about: the loop stood still past the end of the wait, and the handler of what was
// read is queued right behind the timer. Cause: the timer acted on what had been handled by then.

#include "http/AnswerTimer.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

namespace {

constexpr kernel::Duration Wait = 20ms;
constexpr kernel::Duration LongStandstill = 300ms; // More than all late looks may take.

struct AnswerTimerFixture
{
    AnswerTimerFixture()
    {
        timer.start(
                Wait, [this] { return heard; }, [this] { over = true; });
    }

    /** Holds the loop up past the wait; \a work then runs ahead of the wait's timer. */
    void standStill(const std::function<void()> &work)
    {
        const auto until = Clock::now() + Wait;
        asio::post(io, [this, until, work] {
            while (Clock::now() <= until) {
            }
            asio::post(io, work);
        });
    }

    asio::io_context io{1};
    kernel::Counters counters;
    http::AnswerTimer timer{io, counters, "test"};
    http::Heard heard;
    bool over = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerTimerTest, AnswerTimerFixture)

BOOST_AUTO_TEST_CASE(wait_answerIsHandledRightBehindItsEnd_goesOn)
{
    bool handled = false;
    standStill([&] {
        asio::post(io, [&] {
            heard.read = 1;
            handled = true;
            // The reader has what it waited for.
            asio::post(io, [&] { timer.stop(); });
        });
    });
    io.run();
    BOOST_TEST(handled);
    BOOST_TEST(!over);
}

BOOST_AUTO_TEST_CASE(wait_answerIsHandledRightBehindEachLook_goesOn)
{
    const auto behind = [this](std::function<void()> handler) {
        return [this, handler = std::move(handler)] { asio::post(io, handler); };
    };
    standStill(behind([&] {
        heard.read = 1;
        standStill(behind([&] {
            heard.read = 2;
            asio::post(io, [&] { timer.stop(); });
        }));
    }));
    io.run();
    BOOST_TEST(heard.read == 2U);
    BOOST_TEST(!over);
}

// A second standstill within the late looks used up their time, and the wait ended with the rest of
// the answer unread.
BOOST_AUTO_TEST_CASE(wait_loopStandsStillAgainWhileTheAnswerIsRead_goesOn)
{
    bool handled = false;
    standStill([&] {
        heard.waiting = http::Arrived::Bytes;
        const auto until = Clock::now() + LongStandstill;
        // The first look comes before this, the second one right behind it.
        asio::post(io, [&, until] {
            asio::post(io, [&, until] {
                heard.read = 1;
                while (Clock::now() <= until) {
                }
                asio::post(io, [&] {
                    asio::post(io, [&] {
                        asio::post(io, [&] {
                            handled = true;
                            timer.stop();
                        });
                    });
                });
            });
        });
    });
    io.run();
    BOOST_TEST(handled);
    BOOST_TEST(!over);
}

// A peer that always has a byte waiting gets a bounded number of looks, and time in which the loop
// stands still makes them no more.
BOOST_AUTO_TEST_CASE(wait_bytesAlwaysWait_ends)
{
    constexpr int MostLooks = 16;
    int looks = 0;
    timer.start(
            Wait,
            [&] {
                ++looks;
                return http::Heard{static_cast<std::uint64_t>(looks), http::Arrived::Bytes};
            },
            [&] { over = true; });
    io.run();
    BOOST_TEST(over);
    BOOST_TEST(looks <= MostLooks);
}

BOOST_AUTO_TEST_CASE(wait_nothingCame_ends)
{
    standStill([] {});
    io.run();
    BOOST_TEST(over);
    BOOST_TEST(counters.total("late_looks") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
