// A box that gets most new connections of its hall for a while: what it reads is served as before.

#include "platform/CrashFixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace limereel;
using namespace limereel::support;

namespace {

using Clock = std::chrono::steady_clock;

constexpr kernel::Duration Contact = 3s; ///< From then on the box has to serve as before.
constexpr double ServedAsBefore = 0.98;

class CrowdedBoxFixture : public CrashFixture
{
public:
    /** Requests take 0.4 s each, and there is room for a hundred and sixty a second. */
    CrowdedBoxFixture()
    {
        engineCount = 4;
        engineSlots = 16;
        engineQueue = 4;
        moreSettings = "admission = true\n";
        betweenEvents = 80ms;
    }

    /** Sends \a perSecond requests for a while, one in ten to any box and the others to \a crowded;
     * all to any box if that is empty. \return the share of those sent later than \a settled that
     * was served. */
    double play(kernel::Duration lasts, int perSecond, std::optional<std::size_t> crowded,
                kernel::Duration settled = 0s)
    {
        const Clock::time_point began = Clock::now();
        std::vector<std::shared_ptr<Got>> judged;
        std::vector<std::shared_ptr<Got>> all;
        const auto step = [&] {
            const Clock::time_point now = Clock::now();
            while (all.size() < static_cast<std::size_t>((now - began) * perSecond / 1s)) {
                const bool any = !crowded || all.size() % 10 == 0;
                const std::size_t box = any ? all.size() / 10 % Boxes : *crowded;
                all.push_back(begin(box, ask()));
                if (now - began >= settled && (!crowded || box == *crowded)) {
                    judged.push_back(all.back());
                }
            }
            bringBackAfter(1500ms);
            if (beside) {
                beside();
            }
            return now - began >= lasts;
        };
        until(step, "the end of the traffic");
        const auto done = [](const auto &got) { return got->done; };
        until([&] { return std::ranges::all_of(all, done); }, "all answers");
        const auto served =
                std::ranges::count_if(judged, &Got::served, [](const auto &got) { return *got; });
        return static_cast<double>(served) / static_cast<double>(judged.size());
    }

    std::function<void()> beside;     ///< Done over and over while traffic is played.
    std::string prefix_ = "/stream/"; ///< Of the requests' paths.

private:
    Ask ask()
    {
        const std::string own = std::to_string(++number_);
        return {.prefix = prefix_,
                .body = "number " + own,
                .prompt = "aa:100,c" + std::to_string(number_ % 10) + ":50,f" + own + ":40"};
    }

    int number_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrowdedBoxTest, CrowdedBoxFixture)

// Guards against limits that give a box an even part of the fleet's, whatever it carries.
BOOST_AUTO_TEST_CASE(boxGetsMostConnections_serversAreNearlyFull_servesAsBefore)
{
    startAll();
    constexpr int PerSecond = 144; // Nine tenths of the room.
    const double before = play(8s, PerSecond, std::nullopt, Contact);
    const double crowded = play(8s, PerSecond, 0, Contact);
    BOOST_TEST_MESSAGE("served before " << before << ", by the crowded box " << crowded);
    BOOST_TEST(crowded >= ServedAsBefore * before);
}

// Guards against a retry budget of which the crowded box has only an even part.
BOOST_AUTO_TEST_CASE(boxGetsMostConnections_serversCrash_repeatsWhatMayBeRepeated)
{
    prefix_ = "/again/";
    engineWork = 100ms;
    startAll();
    Clock::time_point next = Clock::now();
    beside = [&] {
        if (Clock::now() >= next) {
            next += 1s;
            engines_[engines_.size() - engineCount]->crash();
        }
    };
    constexpr int PerSecond = 72;
    const double before = play(8s, PerSecond, std::nullopt, Contact);
    const double crowded = play(8s, PerSecond, 0, Contact);
    BOOST_TEST_MESSAGE("served before " << before << ", by the crowded box " << crowded);
    BOOST_TEST(crowded >= ServedAsBefore * before);
}

// Guards against callers that open a connection a request, more often than before.
BOOST_AUTO_TEST_CASE(boxGetsMostConnections_callersComeTwiceAsOften_servesAsBefore)
{
    startAll();
    const double before = play(8s, 60, std::nullopt, Contact);
    const double crowded = play(8s, 120, 1, Contact);
    BOOST_TEST_MESSAGE("served before " << before << ", by the crowded box " << crowded);
    BOOST_TEST(crowded >= ServedAsBefore * before);
}

BOOST_AUTO_TEST_SUITE_END()
