// A part of prompts that ends each backend server that begins to answer on it, in requests of which
// no two are alike, beside harmless requests of the same caller with the other parts.

#include "platform/CrashFixture.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace limereel;
using namespace limereel::support;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t MostEnds = 6; ///< Servers that may end under one part.
constexpr double ServedShare = 0.99;

/** Builds the prompt of the request with this number. */
using PromptOf = std::function<std::string(int number)>;

std::string own(int number)
{
    return "f" + std::to_string(100000 + number) + ":40";
}

/** A prompt of harmless parts alone: two that all requests share and one of ten. */
std::string harmlessPrompt(int number)
{
    return "aa:100,bb:100,c" + std::to_string(number % 10) + ":50," + own(number);
}

/** Requests that are sent regularly, each at the next box. */
class Flow
{
public:
    Flow(PromptOf prompt, kernel::Duration every, std::string key = "key-one")
        : prompt_(std::move(prompt))
        , every_(every)
        , key_(std::move(key))
    {
    }

    void sendDue(CrashFixture &fixture)
    {
        const Clock::time_point now = Clock::now();
        if (now < next_) {
            return;
        }
        next_ = std::max(next_ + every_, now);
        Ask ask;
        ask.body = "number " + std::to_string(++number_);
        ask.prompt = prompt_(number_);
        ask.key = key_;
        const std::size_t box = static_cast<std::size_t>(number_) % CrashFixture::Boxes;
        sent_.push_back({now, fixture.begin(box, ask)});
    }

    bool allDone() const
    {
        return std::ranges::all_of(sent_, [](const Sent &sent) { return sent.got->done; });
    }

    /** Of those sent from \a since on, the share that was served at the first try. */
    double servedShare(Clock::time_point since) const
    {
        const auto later = [since](const Sent &sent) { return sent.at >= since; };
        const auto served = [&](const Sent &sent) { return later(sent) && sent.got->served(); };
        const auto all = std::ranges::count_if(sent_, later);
        BOOST_REQUIRE(all >= 20);
        return static_cast<double>(std::ranges::count_if(sent_, served)) / static_cast<double>(all);
    }

    /** Of all, how many got this status. */
    std::size_t answered(int status) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
                sent_, [status](const Sent &sent) { return sent.got->status == status; }));
    }

private:
    struct Sent
    {
        Clock::time_point at;
        std::shared_ptr<Got> got;
    };

    PromptOf prompt_;
    kernel::Duration every_;
    std::string key_;
    int number_ = 0;
    Clock::time_point next_;
    std::vector<Sent> sent_;
};

class PartFixture : public CrashFixture
{
public:
    PartFixture()
    {
        engineCount = 8;
        crashingParts = {"bad"};
        endsAfter = 90ms;
        betweenEvents = 20ms;
    }

    /** Plays \a flows for a while; engines that have ended are back 1.5 s later. */
    void play(kernel::Duration lasts, const std::vector<Flow *> &flows)
    {
        const Clock::time_point end = Clock::now() + lasts;
        const auto step = [&] {
            bringBackAfter(1500ms);
            for (Flow *flow : flows) {
                flow->sendDue(*this);
            }
            if (!third_ && ends() >= 3) {
                third_ = Clock::now();
            }
            if (beside) {
                beside();
            }
            return Clock::now() >= end;
        };
        until(step, "the end of the traffic");
        const auto done = [&] {
            return std::ranges::all_of(flows, [](const Flow *flow) { return flow->allDone(); });
        };
        until(done, "all answers");
    }

    /** Lets boxes and engines go on for a while. */
    void pause(kernel::Duration lasts)
    {
        const Clock::time_point end = Clock::now() + lasts;
        until([end] { return Clock::now() >= end; }, "a pause");
    }

    /** Waits until a part's record lies in the store. */
    void untilPartIsStopped()
    {
        until([this] { return !store().objects("stopped-requests").empty(); }, "its object");
    }

    /** Some time after the third end; a server that ends then is one too many. */
    Clock::time_point settled() const { return third_.value_or(Clock::now()) + 1s; }

    std::function<void()> beside; ///< Done over and over while traffic is played.

private:
    std::optional<Clock::time_point> third_; ///< When the third engine had ended.
};

/** Where the crashing part stands in its prompts. */
const std::vector<PromptOf> Places = {
        [](int number) { return "bad:70,aa:100,bb:100," + own(number); },
        [](int number) {
            return "aa:100,bad:70,c" + std::to_string(number % 10) + ":50," + own(number);
        },
        [](int number) {
            return number % 2 == 0
                           ? "aa:100,bb:100,bad:70," + own(number)
                           : "c" + std::to_string(number % 10) + ":50,bad:70," + own(number);
        }};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingPartTest, PartFixture)

// Guards against a part of prompts that ends server after server, as only whole requests are known.
BOOST_DATA_TEST_CASE_F(PartFixture, requestsWithACrashingPart_noTwoAlike_sixServersEndAtMost,
                       boost::unit_test::data::xrange(std::size_t(3)), place)
{
    startAll();
    Flow crashing(Places[place], 100ms);
    Flow harmless(harmlessPrompt, 33ms);
    play(5s, {&crashing, &harmless});
    BOOST_TEST_MESSAGE("servers that ended: " << ends());
    BOOST_TEST(ends() <= MostEnds);
    BOOST_TEST(reachedWith("bad") <= MostEnds);
}

// Guards against harm to requests that share their caller and parts with those that end servers.
BOOST_DATA_TEST_CASE_F(PartFixture, harmlessRequestsShareTheOtherParts_areServedAsBefore,
                       boost::unit_test::data::xrange(std::size_t(3)), place)
{
    startAll();
    Flow crashing(Places[place], 100ms);
    Flow harmless(harmlessPrompt, 33ms);
    play(6s, {&crashing, &harmless});
    BOOST_TEST_MESSAGE("share served: " << harmless.servedShare(settled()));
    BOOST_TEST(harmless.servedShare(settled()) >= ServedShare);
}

BOOST_AUTO_TEST_CASE(twoCrashingParts_eachEndsSixServersAtMost)
{
    crashingParts = {"bad", "worse"};
    startAll();
    Flow crashing(Places[1], 100ms);
    Flow another([](int number) { return "bb:100,worse:70," + own(number); }, 100ms);
    Flow harmless(harmlessPrompt, 33ms);
    play(6s, {&crashing, &another, &harmless});
    BOOST_TEST(ends() <= 2 * MostEnds);
    BOOST_TEST(harmless.servedShare(settled() + 1s) >= ServedShare);
}

// Guards against a stopped part that all boxes forget as they restart.
BOOST_AUTO_TEST_CASE(allBoxesLosePowerAfterAPartWasStopped_itStaysStopped)
{
    startAll();
    Flow before(Places[1], 100ms);
    play(2s, {&before});
    untilPartIsStopped();
    restartAll();
    const std::size_t ended = ends();
    Flow after(Places[1], 100ms);
    play(2s, {&after});
    BOOST_TEST(ends() == ended);
}

// A part that always stood beside the crashing one is tried once it comes without it.
BOOST_AUTO_TEST_CASE(harmlessPartAlwaysStoodBesideTheCrashingOne_comesApart_isServed)
{
    startAll();
    const auto together = [](int number) { return "dd:60,bad:70," + own(number); };
    Flow crashing(together, 100ms);
    play(2s, {&crashing});
    const std::size_t ended = ends();
    Flow apart([](int number) { return "dd:60," + own(number); }, 100ms);
    Flow still(together, 100ms);
    play(4s, {&apart, &still});
    BOOST_TEST(apart.servedShare(Clock::time_point()) >= 0.9);
    BOOST_TEST(ends() == ended);
}

// Guards against harm to parts of a request that ends servers for its body, not for its parts.
BOOST_AUTO_TEST_CASE(requestEndsItsServersByItsBody_othersWithItsPartsAreServed)
{
    startAll();
    const Ask crashing{.body = Crashing, .prompt = "dd:60,ee:60,ff:40"};
    for (std::size_t turn = 0; turn < 15; ++turn) {
        call(turn % Boxes, crashing);
        bringBack();
        pause(100ms);
    }
    BOOST_TEST(ended() <= 3U);
    for (std::size_t box = 0; box < Boxes; ++box) {
        BOOST_TEST(call(box, {.prompt = "dd:60,ee:60,cc:40"}).status == 200);
    }
    BOOST_TEST(call(0, crashing).status == 503);
}

// Guards against an organisation that gets another one's part stopped.
BOOST_AUTO_TEST_CASE(organisationEndsServersUnderAnothersPart_theOtherIsServed)
{
    startAll();
    const auto attack = [](int number) { return "dd:60,bad:70," + own(number); };
    Flow attacker(attack, 100ms, "key-two");
    Flow rare([](int number) { return "dd:60," + own(number); }, 150ms);
    play(6s, {&attacker, &rare});
    BOOST_TEST(rare.servedShare(settled()) >= ServedShare);
    BOOST_TEST(ends() <= MostEnds);
}

BOOST_AUTO_TEST_CASE(stoppedPart_operatorLiftsIt_runsAgainAtEachBox)
{
    startAll();
    Flow crashing(Places[1], 100ms);
    play(2s, {&crashing});
    untilPartIsStopped();
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        engines_[index]->endedByParts.clear();
    }
    crashingParts.clear();
    bringBack();
    const Ask with{.prompt = "aa:100,bad:70,cc:40"};
    const Got refused = call(1, with);
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(counter(1, "results", {{"kind", "refused"}, {"code", "part-ends-servers"}}) > 0U);
    BOOST_TEST(lift(2, "part=none", std::string(64, 'a')) == 404);
    BOOST_TEST(lift(2, "part=bad", std::string(64, 'a')) == 200);
    until([&] { return store().objects("stopped-requests").empty(); }, "the objects' end");
    const auto isFree = [&](std::size_t box) {
        const auto records = crashes(box).book().shared();
        return std::ranges::all_of(records,
                                   [](const auto &record) { return record.servers.empty(); });
    };
    for (std::size_t box = 0; box < Boxes; ++box) {
        until([&] { return isFree(box); }, "the part's end at each box");
        BOOST_TEST(call(box, with).status == 200);
    }
}

// Guards against harmless requests that are stopped where servers end by themselves.
BOOST_AUTO_TEST_CASE(serversEndByThemselves_nothingIsStopped)
{
    crashingParts.clear();
    startAll();
    std::mt19937 random(7);
    Clock::time_point next = Clock::now();
    beside = [&] {
        if (Clock::now() < next) {
            return;
        }
        next += 500ms;
        engines_[engines_.size() - 1 - random() % engineCount]->crash();
    };
    Flow harmless(harmlessPrompt, 33ms);
    Flow rare([](int number) { return "e" + std::to_string(number % 20) + ":60," + own(number); },
              100ms);
    play(6s, {&harmless, &rare});
    BOOST_TEST(ends() >= 6U);
    BOOST_TEST(harmless.servedShare(Clock::time_point()) >= 0.95);
    BOOST_TEST(rare.servedShare(Clock::time_point()) >= 0.95);
    BOOST_TEST(store().objects("stopped-requests").empty());
}

BOOST_AUTO_TEST_SUITE_END()
