// Whatever order the frames arrive in, and whatever duplicates and foreign frames come with them,
// the caller gets the frames of its own answer, each once and in order.

#include "answer/FrameCheck.h"
#include "answer/EventSplitter.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace limereel::answer;

namespace {

std::vector<Frame> answerOf(const std::string &request, std::uint64_t frames)
{
    std::vector<Frame> answer;
    for (std::uint64_t sequence = 0; sequence < frames; ++sequence) {
        answer.push_back(
                {request, sequence, request + std::to_string(sequence), sequence + 1 == frames});
    }
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FrameCheckTest)

BOOST_AUTO_TEST_CASE(take_shuffledDoubledAndForeignFrames_passesOnTheAnswerAlone)
{
    for (std::uint64_t seed = 0; seed < 2000; ++seed) {
        std::mt19937_64 random(seed);
        const auto mine = answerOf("mine", 1 + random() % 20);
        const auto theirs = answerOf("theirs", 20);
        std::vector<Frame> wire = mine;
        for (int extra = 0; extra < 10; ++extra) {
            wire.push_back(mine[random() % mine.size()]);
            wire.push_back(theirs[random() % theirs.size()]);
        }
        std::ranges::shuffle(wire, random);
        FrameCheck check("mine", 64);
        std::vector<Frame> passedOn;
        for (const Frame &frame : wire) {
            check.take(frame, passedOn);
        }
        BOOST_TEST((passedOn == mine));
        BOOST_TEST(check.whole());
    }
}

BOOST_AUTO_TEST_CASE(take_anyFrameMissing_isNeverWhole)
{
    const auto mine = answerOf("mine", 12);
    for (std::size_t missing = 0; missing < mine.size(); ++missing) {
        FrameCheck check("mine", 64);
        std::vector<Frame> passedOn;
        for (const Frame &frame : mine) {
            if (frame.sequence != missing) {
                check.take(frame, passedOn);
            }
        }
        BOOST_TEST(!check.whole());
        BOOST_TEST(check.next() == missing);
        BOOST_TEST((passedOn
                    == std::vector<Frame>(mine.begin(),
                                          mine.begin() + static_cast<std::ptrdiff_t>(missing))));
    }
}

BOOST_AUTO_TEST_CASE(take_tooManyEarlyFrames_overflows)
{
    FrameCheck check("mine", 2);
    std::vector<Frame> passedOn;
    BOOST_TEST((check.take({"mine", 1, "", false}, passedOn) == FrameResult::Held));
    BOOST_TEST((check.take({"mine", 2, "", false}, passedOn) == FrameResult::Held));
    BOOST_TEST((check.take({"mine", 3, "", false}, passedOn) == FrameResult::Overflow));
    BOOST_TEST(passedOn.empty());
}

BOOST_AUTO_TEST_CASE(take_frameAfterTheEnd_isAContradiction)
{
    FrameCheck check("mine", 4);
    std::vector<Frame> passedOn;
    check.take({"mine", 0, "stop", true}, passedOn);
    BOOST_TEST((check.take({"mine", 1, "more", false}, passedOn) == FrameResult::Contradiction));
    BOOST_TEST(passedOn.size() == 1U);
}

BOOST_AUTO_TEST_CASE(eventSplitter_splitAtEveryOffset_givesTheSameEvents)
{
    const std::string wire =
            ": hello\n\ndata: one\n\nevent: x\ndata: two\ndata: three\n\ndata:four\n\n";
    const std::vector<std::string> expected = {"one", "two\nthree", "four"};
    for (std::size_t cut = 0; cut <= wire.size(); ++cut) {
        EventSplitter splitter(1000);
        std::vector<std::string> events;
        BOOST_TEST(splitter.take(wire.substr(0, cut), events));
        BOOST_TEST(splitter.take(wire.substr(cut), events));
        BOOST_TEST(events == expected);
        BOOST_TEST(!splitter.hasPartialEvent());
    }
}

BOOST_AUTO_TEST_CASE(eventSplitter_eventWithoutEnd_isRefusedPastItsLimit)
{
    EventSplitter splitter(100);
    std::vector<std::string> events;
    BOOST_TEST(splitter.take(std::string(100, 'x'), events));
    BOOST_TEST(!splitter.take("x", events));
}

BOOST_AUTO_TEST_SUITE_END()
