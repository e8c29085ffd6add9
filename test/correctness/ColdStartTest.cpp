// Cold backend servers: which servers a box considers cold, and how many requests a second all
// boxes together send to one, whatever they know of each other.

#include "forward/ColdRateLimiter.h"
#include "forward/ColdStarts.h"
#include "forward/FleetSizeEstimate.h"
#include "kernel/decisions/Name.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <vector>

using namespace limereel;
using namespace limereel::forward;

namespace {

constexpr std::uint64_t Server = 7;
const std::uint64_t Pool = kernel::hashOf("pool");

kernel::Instant at(kernel::Duration since)
{
    return kernel::Instant(1000s) + since;
}

ColdStarts poolOf(ColdPolicy policy)
{
    ColdStarts starts;
    starts.setServices({{"pool", policy}});
    return starts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ColdStartsTest)

BOOST_AUTO_TEST_CASE(state_serverStarted_isColdForTheServicesTime)
{
    ColdStarts starts = poolOf({3s, 8.9});
    starts.noteStarted(Server, at(0s));
    BOOST_TEST(starts.state(Pool, Server, at(2999ms)).cold());
    BOOST_TEST(starts.state(Pool, Server, at(2999ms)).perSecond == 8.9);
    BOOST_TEST(!starts.state(Pool, Server, at(3s)).cold());
    BOOST_TEST(!starts.state(Pool, Server + 1, at(0s)).cold());
}

BOOST_AUTO_TEST_CASE(state_laterReportThatItIsWarm_doesNotMakeItWarm)
{
    ColdStarts starts = poolOf({3s, 8.9});
    starts.noteReported(Server, 2500ms, at(0s));
    starts.noteReported(Server, 0ms, at(1s));
    starts.noteReported(Server, 500ms, at(1s));
    BOOST_TEST(starts.state(Pool, Server, at(2400ms)).cold());
    BOOST_TEST(!starts.state(Pool, Server, at(2500ms)).cold());
}

BOOST_AUTO_TEST_CASE(state_serviceWithoutBound_isNeverCold)
{
    ColdStarts starts = poolOf({3s, 0});
    starts.noteStarted(Server, at(0s));
    starts.noteReported(Server, 3s, at(0s));
    BOOST_TEST(!starts.state(Pool, Server, at(1s)).cold());
    BOOST_TEST(!starts.state(kernel::hashOf("other"), Server, at(1s)).cold());
}

BOOST_AUTO_TEST_CASE(noteReported_absurdTime_isCapped)
{
    ColdStarts starts = poolOf({3s, 8.9});
    starts.noteReported(Server, 1000000s, at(0s));
    BOOST_TEST(!starts.state(Pool, Server, at(61s)).cold());
}

BOOST_AUTO_TEST_CASE(startedWithin_spanIsOver_isNotAnyMore)
{
    ColdStarts starts = poolOf({3s, 8.9});
    BOOST_TEST(!starts.startedWithin(Server, 20s, at(0s)));
    starts.noteStarted(Server, at(0s));
    BOOST_TEST(starts.startedWithin(Server, 20s, at(19s)));
    BOOST_TEST(!starts.startedWithin(Server, 20s, at(20s)));
}

BOOST_AUTO_TEST_CASE(expire_longWarm_isForgotten)
{
    ColdStarts starts = poolOf({3s, 8.9});
    starts.noteStarted(Server, at(0s));
    starts.expire(at(10s));
    BOOST_TEST(starts.size() == 1U);
    starts.expire(at(100s));
    BOOST_TEST(starts.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ColdRateLimiterTest)

namespace {

constexpr ColdRatePolicy Policy{.excess = 1.5, .slack = 5};
constexpr double PerSecond = 8.9;

int grantedIn(ColdRateLimiter &limiter, const FleetPart &fleet, kernel::Duration from)
{
    int granted = 0;
    for (kernel::Duration since = from; since < from + 1s; since += 5ms) {
        granted += limiter.grant({Server, PerSecond, 1}, fleet, at(since)) ? 1 : 0;
    }
    return granted;
}

} // namespace

BOOST_AUTO_TEST_CASE(grant_manyAsks_staysBelowHalfOfTheBoundAndUsesMostOfItsPart)
{
    ColdRateLimiter limiter(Policy);
    int all = 0;
    constexpr int Seconds = 10;
    for (int second = 0; second < Seconds; ++second) {
        const int granted = grantedIn(limiter, {70, 70}, 1s * second);
        BOOST_TEST(granted <= limiter.bound(PerSecond) / 2);
        all += granted;
    }
    BOOST_TEST(all >= 3 * Seconds);
}

BOOST_AUTO_TEST_CASE(grant_ownerHasSettled_grantsMostOfTheServersRateAndLessThanTheBound)
{
    ColdRateLimiter limiter(Policy);
    for (int second = 0; second < 10; ++second) {
        const int granted = grantedIn(limiter, {70, 70, true}, 1s * second);
        BOOST_TEST(granted <= limiter.bound(PerSecond) * 3 / 4);
    }
    int all = 0;
    for (int second = 10; second < 20; ++second) {
        all += grantedIn(limiter, {70, 70, true}, 1s * second);
    }
    BOOST_TEST(all >= 10 * PerSecond * 0.8);
}

// The new owner doesn't know what the previous owner has granted in this second.
BOOST_AUTO_TEST_CASE(grant_ownerChanges_newOneBeginsWithHalf)
{
    ColdRateLimiter previousOwner(Policy);
    ColdRateLimiter nextOwner(Policy);
    grantedIn(previousOwner, {70, 70}, 0s);
    const int first = grantedIn(nextOwner, {70, 70}, 1s);
    BOOST_TEST(first <= previousOwner.bound(PerSecond) / 4);
    BOOST_TEST(first > 0);
}

BOOST_AUTO_TEST_CASE(grant_noBoundIsSet_isTheServersRate)
{
    ColdRateLimiter limiter;
    BOOST_TEST(limiter.bound(10) == 10);
    BOOST_TEST(grantedIn(limiter, {1, 1}, 0s) <= 10);
}

BOOST_AUTO_TEST_CASE(grant_boxSeesFewOfItsFleet_grantsItsPart)
{
    // 25 of 73 boxes are cut off, each from all others, and each asks for as much as it can get
    // from the same server.
    int granted = 0;
    constexpr int Seconds = 20;
    for (std::uint64_t box = 1; box <= 25; ++box) {
        ColdRateLimiter limiter(Policy);
        for (kernel::Duration since = 0s; since < 1s * Seconds; since += 20ms) {
            granted += limiter.grant({Server, PerSecond, box}, {1, 73}, at(since)) ? 1 : 0;
        }
    }
    BOOST_TEST(granted <= Seconds * PerSecond);
    BOOST_TEST(granted > 0);
}

BOOST_AUTO_TEST_CASE(grantWithoutOwner_wholeFleetWithoutOwners_staysBelowTheBound)
{
    constexpr std::uint64_t Boxes = 73;
    std::vector<ColdRateLimiter> ledgers(Boxes, ColdRateLimiter(Policy));
    std::vector<kernel::Instant> sent;
    for (kernel::Duration since = 0s; since < 30s; since += 10ms) {
        for (std::uint64_t box = 0; box < Boxes; ++box) {
            if (ledgers[box].grantWithoutOwner({Server, PerSecond, box}, {1, Boxes}, at(since))) {
                sent.push_back(at(since));
            }
        }
    }
    for (const kernel::Instant from : sent) {
        const auto within = std::ranges::count_if(
                sent, [from](kernel::Instant when) { return when >= from && when - from < 1s; });
        BOOST_TEST(static_cast<double>(within) <= ledgers[0].bound(PerSecond) / 2);
    }
    BOOST_TEST(!sent.empty());
}

namespace {

/** One box of a simulated fleet, and what it knows of the fleet. */
struct Box
{
    ColdRateLimiter limiter{Policy};
    FleetSizeEstimate sizeEstimate{{.guess = 32, .guessFor = 60s, .rememberedFor = 60s}};
    std::size_t owner = 0; ///< The box that it asks as the owner.
    std::size_t seen = 0;
    bool cutOff = false; ///< Whether it is cut off from all other boxes.
    kernel::Instant downUntil;
    kernel::Instant owns;                          ///< Start of its ownership, as far as it knows.
    kernel::Instant lost = kernel::Instant::max(); ///< End of its ownership, as far as it knows.
};

/** A fleet that sends as much as it may to one cold server, and a count of the arrivals there. */
class Fleet
{
public:
    Fleet(std::size_t boxes, std::uint64_t seed)
        : boxes_(boxes)
        , random_(seed)
    {
        for (Box &box : boxes_) {
            box.seen = boxes;
            fleetPart(box, at(0s));
        }
    }

    void play(kernel::Duration length)
    {
        for (kernel::Duration since = 0s; since < length; since += 2ms) {
            if (random_() % 400 == 0) {
                disturb(at(since));
            }
            send(random_() % boxes_.size(), at(since));
        }
    }

    /** The largest number of arrivals in any second. */
    std::size_t worstSecond()
    {
        std::ranges::sort(arrivals_);
        std::size_t worst = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < arrivals_.size(); ++last) {
            while (arrivals_[last] - arrivals_[first] >= 1s) {
                ++first;
            }
            worst = std::max(worst, last - first + 1);
        }
        return worst;
    }

    std::size_t sent() const { return arrivals_.size(); }

private:
    // A box learns of a change of owner within two seconds; an owner counts as settled after four.
    FleetPart fleetPart(Box &box, kernel::Instant now)
    {
        const bool settled = now - box.owns >= 4s && now < box.lost;
        return {box.seen, box.sizeEstimate.note(box.seen, now), settled};
    }

    // The next owner's ownership begins at once in its own view; the previous owner learns of it
    // within two seconds.
    void changeOwner(std::size_t owner, kernel::Instant now)
    {
        boxes_[owner].owns = now;
        boxes_[owner].lost = kernel::Instant::max();
        boxes_[owner_].lost = now + 1ms * (random_() % 2000);
        owner_ = owner;
    }

    // Cuts a box off or reconnects it, restarts a box, or makes some boxes see another owner for a
    // while.
    void disturb(kernel::Instant now)
    {
        Box &box = boxes_[random_() % boxes_.size()];
        switch (random_() % 4) {
        case 0:
            box.cutOff = !box.cutOff;
            box.seen = box.cutOff ? 1 : boxes_.size();
            box.owns = now;
            break;
        case 1:
            box.limiter = ColdRateLimiter(Policy);
            box.sizeEstimate =
                    FleetSizeEstimate({.guess = 32, .guessFor = 60s, .rememberedFor = 60s});
            // It starts, reads the configuration and becomes known to the others again.
            box.downUntil = now + 1ms * (500 + random_() % 1000);
            box.owns = box.downUntil;
            break;
        case 2: {
            // The owner changes and some boxes learn of it late, so two owners are asked in the
            // meantime.
            const std::size_t next = 1 - owner_;
            for (Box &other : boxes_) {
                other.owner = random_() % 2 == 0 ? next : owner_;
            }
            changeOwner(next, now);
            break;
        }
        default:
            for (Box &other : boxes_) {
                other.owner = owner_;
            }
        }
        fleetPart(box, now);
    }

    void send(std::size_t index, kernel::Instant now)
    {
        Box &box = boxes_[index];
        if (now < box.downUntil) {
            return;
        }
        const std::size_t owner = box.cutOff ? index : box.owner;
        const Box &named = boxes_[owner];
        const bool reached = owner == index || (!named.cutOff && now >= named.downUntil);
        const bool lost = owner != index && random_() % 10 == 0;
        bool granted = false;
        if (reached) {
            Box &asked = boxes_[owner];
            granted = asked.limiter.grant({Server, PerSecond, owner}, fleetPart(asked, now), now);
        }
        if (!reached || lost) {
            granted = box.limiter.grantWithoutOwner({Server, PerSecond, index}, fleetPart(box, now),
                                                    now);
        }
        if (granted) {
            // Slow boxes send late.
            arrivals_.push_back(now + 1ms * (random_() % 250));
        }
    }

    std::vector<Box> boxes_;
    std::size_t owner_ = 0; ///< Box 0 or box 1.
    std::mt19937_64 random_;
    std::vector<kernel::Instant> arrivals_;
};

} // namespace

BOOST_AUTO_TEST_CASE(
        fleet_anyHistoryOfPartitionsRestartsLostMessagesAndTwoOwners_noSecondIsAboveTheBound)
{
    const double bound = ColdRateLimiter(Policy).bound(PerSecond);
    for (std::uint64_t seed = 1; seed <= 250; ++seed) {
        Fleet fleet(8 + seed % 60, seed);
        fleet.play(20s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(static_cast<double>(fleet.worstSecond()) <= bound);
            BOOST_TEST(fleet.sent() > 10U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
