// The retry budget of the whole fleet, without a network: seeded histories of boxes that restart
// and are cut off from each other while requests fail, against the limit in every window.

#include "forward/FleetRetryBudget.h"
#include "forward/FleetShare.h"
#include "forward/FleetSizeEstimate.h"
#include "gateway/FleetSight.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace limereel;
using namespace limereel::forward;

namespace {

constexpr kernel::Duration Step = 100ms;
constexpr std::size_t StepsPerNote = 10;
constexpr std::size_t StepsPerWindow = 100;
constexpr std::size_t AttemptsPerRequest = 4;
constexpr double Ratio = 0.2;
const std::string Service = "pool";

kernel::Instant at(std::size_t step)
{
    return kernel::Instant(1000s) + Step * step;
}

/** What one box knows and spends. */
struct Spender
{
    FleetRetryBudget budget{RetryBound{}};
    FleetShare share;
    FleetSizeEstimate estimate;
};

/** How a box turns what it sees into its part of the budget. */
using Division = std::function<void(Spender &, const FleetSight &, kernel::Instant)>;

void divideByShare(Spender &box, const FleetSight &sight, kernel::Instant now)
{
    box.share.note(sight, now);
    box.budget.setParts(box.share.part(), box.share.ratioPart());
}

void divideByBoxesSeen(Spender &box, const FleetSight &sight, kernel::Instant now)
{
    box.budget.setBoxes(box.estimate.note(sight.boxes, now));
}

/** One box of a simulated fleet. */
struct Box
{
    Spender spender;
    std::size_t hall = 0;
    std::size_t network = 0; ///< Boxes of the same number are in contact.
    std::size_t downUntil = 0;
    std::size_t notePhase = 0;
};

/** What a history disturbs the fleet with, besides failing requests. */
enum class Disturbance : std::uint8_t {
    None,
    Restart,
    RestartInSeries,
    RestartAll,
    CutBoxes,
    CutHall,
    CutAll,
    Heal,
    Last = Heal
};

/** What a fleet did in a history. */
struct Account
{
    std::vector<double> requests; ///< By step.
    std::vector<double> repeats;  ///< By step.
    double slack = 0;
};

/** A fleet whose boxes spend whatever they may. */
class Fleet
{
public:
    Fleet(std::size_t boxes, std::size_t halls, double slack, Division divide, std::uint64_t seed)
        : boxes_(boxes)
        , halls_(halls)
        , divide_(std::move(divide))
        , random_(seed)
    {
        account_.slack = slack;
        for (std::size_t index = 0; index < boxes; ++index) {
            boxes_[index].hall = index < halls ? index : random_() % halls;
            boxes_[index].notePhase = random_() % StepsPerNote;
        }
    }

    void disturb(Disturbance kind)
    {
        switch (kind) {
        case Disturbance::None:
        case Disturbance::Restart:
            restart(random_() % boxes_.size(), 0);
            break;
        case Disturbance::RestartInSeries:
            for (std::size_t index = 0; index < std::min<std::size_t>(boxes_.size(), 20); ++index) {
                later_.emplace_back(step_ + index * 13, index);
            }
            break;
        case Disturbance::RestartAll:
            for (std::size_t index = 0; index < boxes_.size(); ++index) {
                restart(index, random_() % 20);
            }
            break;
        case Disturbance::CutBoxes: {
            const std::size_t part = 1 + random_() % 4;
            for (Box &box : boxes_) {
                if (random_() % 4 < part) {
                    box.network = ++networks_;
                }
            }
            break;
        }
        case Disturbance::CutHall:
            cutHall(random_() % halls_);
            break;
        case Disturbance::CutAll:
            for (Box &box : boxes_) {
                box.network = ++networks_;
            }
            break;
        case Disturbance::Heal:
            for (Box &box : boxes_) {
                box.network = 0;
            }
            break;
        }
    }

    /** Plays one step in which callers send \a requests, which all fail if \a fails. */
    void play(double requests, bool fails)
    {
        for (const auto &[step, index] : later_) {
            if (step == step_) {
                restart(index, 0);
            }
        }
        for (Box &box : boxes_) {
            if (step_ == box.downUntil) {
                renew(box);
            }
            if (isUp(box) && step_ % StepsPerNote == box.notePhase) {
                divide_(box.spender, sightOf(box), at(step_));
            }
        }
        account_.requests.push_back(0);
        account_.repeats.push_back(0);
        // Requests count whether or not they arrive.
        const std::size_t sent = std::poisson_distribution<std::size_t>(requests)(random_);
        account_.requests.back() += static_cast<double>(sent);
        for (std::size_t request = 0; request < sent; ++request) {
            Box &box = boxes_[random_() % boxes_.size()];
            if (isUp(box)) {
                serve(box, fails);
            }
        }
        ++step_;
    }

    const Account &account() const { return account_; }

private:
    bool isUp(const Box &box) const { return step_ >= box.downUntil; }

    void renew(Box &box)
    {
        box.spender = Spender();
        box.spender.budget.setBound({Ratio, Step * StepsPerWindow, account_.slack});
        divide_(box.spender, sightOf(box), at(step_));
    }

    void restart(std::size_t index, std::size_t delay)
    {
        Box &box = boxes_[index];
        box.downUntil = step_ + 3 + delay + random_() % 12;
    }

    void cutHall(std::size_t hall)
    {
        ++networks_;
        for (Box &box : boxes_) {
            if (box.hall == hall && box.network == 0) {
                box.network = networks_;
            }
        }
    }

    // As the settings name the halls: with one, only another box can show that this one isn't cut
    // off.
    FleetSight sightOf(const Box &box) const
    {
        std::set<std::size_t> halls{box.hall};
        std::size_t seen = 1;
        for (const Box &other : boxes_) {
            if (&other != &box && isUp(other) && other.network == box.network) {
                halls.insert(other.hall);
                ++seen;
            }
        }
        return {seen, halls.size() == halls_ && (seen > 1 || boxes_.size() == 1)};
    }

    void serve(Box &box, bool fails)
    {
        box.spender.budget.countRequest(Service, at(step_));
        for (std::size_t attempt = 1; fails && attempt < AttemptsPerRequest; ++attempt) {
            if (box.spender.budget.take(Service, at(step_))) {
                account_.repeats.back() += 1;
            }
        }
    }

    std::vector<Box> boxes_;
    std::size_t halls_;
    Division divide_;
    std::mt19937_64 random_;
    std::size_t step_ = 0;
    std::size_t networks_ = 0;
    std::vector<std::pair<std::size_t, std::size_t>> later_; ///< Step and box of restarts to come.
    Account account_;
};

/** The sums of the first steps, for sums over any span. */
class Sums
{
public:
    explicit Sums(const std::vector<double> &values)
        : sums_(1, 0)
    {
        for (const double value : values) {
            sums_.push_back(sums_.back() + value);
        }
    }

    /** The sum over \a begin to before \a end, which may lie outside. */
    double of(std::ptrdiff_t begin, std::ptrdiff_t end) const { return until(end) - until(begin); }

private:
    double until(std::ptrdiff_t end) const
    {
        const auto last = static_cast<std::ptrdiff_t>(sums_.size()) - 1;
        return sums_[static_cast<std::size_t>(std::clamp<std::ptrdiff_t>(end, 0, last))];
    }

    std::vector<double> sums_;
};

/** The window with most repeats in relation to what is allowed. */
struct Worst
{
    double repeats = 0;
    double allowed = 1;
    double share = 0;
    std::size_t step = 0;
    std::uint64_t seed = 0;
};

Worst worstWindow(const Account &account)
{
    const Sums requests(account.requests);
    const Sums repeats(account.repeats);
    const auto window = static_cast<std::ptrdiff_t>(StepsPerWindow);
    Worst worst;
    for (std::ptrdiff_t begin = 0; begin < std::ssize(account.repeats); ++begin) {
        const double most =
                std::max({requests.of(begin, begin + window), requests.of(begin - window, begin),
                          requests.of(begin - window / 2, begin + window / 2)});
        const double allowed = Ratio * most + account.slack;
        const double spent = repeats.of(begin, begin + window);
        if (spent / allowed > worst.share) {
            worst = {spent, allowed, spent / allowed, static_cast<std::size_t>(begin), 0};
        }
    }
    return worst;
}

/** The sum over many histories. */
struct Totals
{
    Worst worst;
    std::size_t broken = 0;
    double repeats = 0;
    double requests = 0;
};

std::size_t fleetSize(std::mt19937_64 &random)
{
    constexpr std::array<std::size_t, 8> Sizes = {3, 4, 6, 7, 12, 24, 60, 300};
    return Sizes[random() % Sizes.size()];
}

/** What callers and servers do in a history. */
enum class Load : std::uint8_t {
    Steady, ///< The rate is steady, and all requests fail.
    Bursts  ///< The rate grows and falls, and requests fail now and then.
};

Account playHistory(const Division &divide, Load load, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const std::size_t boxes = fleetSize(random);
    const std::size_t halls = 1 + random() % std::min<std::size_t>(boxes, 5);
    const double slack = boxes < 20 ? 52 : 200;
    Fleet fleet(boxes, halls, slack, divide, random());
    const double perStep = (20 + static_cast<double>(random() % 60)) / 10
                           * std::max(1.0, static_cast<double>(boxes) / 12);
    const std::size_t steps = 600 + random() % 1200;
    const bool quietSpells = random() % 2 == 0;
    if (random() % 4 == 0) {
        fleet.disturb(Disturbance::CutAll);
    }
    bool fails = true;
    bool burst = false;
    for (std::size_t step = 0; step < steps; ++step) {
        if (random() % 60 == 0) {
            const auto kinds = static_cast<std::uint64_t>(Disturbance::Last) + 1;
            fleet.disturb(static_cast<Disturbance>(random() % kinds));
        }
        if (load == Load::Bursts && random() % 80 == 0) {
            burst = !burst;
            fails = !quietSpells || random() % 2 == 0;
        }
        fleet.play(burst ? perStep * 4 : perStep, fails);
    }
    return fleet.account();
}

Totals playMany(const Division &divide, Load load, std::uint64_t histories)
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= histories; ++seed) {
        const Account account = playHistory(divide, load, seed);
        Worst worst = worstWindow(account);
        worst.seed = seed;
        totals.broken += worst.share > 1 ? 1 : 0;
        if (worst.share > totals.worst.share) {
            totals.worst = worst;
        }
        totals.repeats += Sums(account.repeats).of(0, std::ssize(account.repeats));
        totals.requests += Sums(account.requests).of(0, std::ssize(account.requests));
    }
    BOOST_TEST_MESSAGE(histories << " histories, " << totals.broken
                                 << " broken; worst: " << totals.worst.repeats << " repeats of "
                                 << totals.worst.allowed << " allowed, seed " << totals.worst.seed
                                 << ", from step " << totals.worst.step << "; repeats a request "
                                 << totals.repeats / totals.requests);
    return totals;
}

/** Histories to play: few in CI, more by hand with LIMEREEL_HISTORIES. */
std::uint64_t historyCount()
{
    constexpr std::uint64_t Short = 60;
    const char *const asked = std::getenv("LIMEREEL_HISTORIES");
    return asked == nullptr ? Short : std::strtoull(asked, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetBudgetTest)

// Guards against boxes that take themselves for the whole fleet, after a restart or while they are
// cut off, and each spend what the fleet has together.
BOOST_AUTO_TEST_CASE(fleet_restartsAndCutsWhileRequestsFail_staysWithinItsBoundInEveryWindow)
{
    const Totals totals = playMany(divideByShare, Load::Steady, historyCount());
    BOOST_TEST(totals.broken == 0U);
}

// Guards against retries that are earned by requests of one burst and spent in a window that holds
// another one, so that the limit counts only one of the two.
BOOST_AUTO_TEST_CASE(fleet_burstsAndQuietSpells_staysWithinItsBoundInEveryWindow)
{
    const Totals totals = playMany(divideByShare, Load::Bursts, historyCount());
    BOOST_TEST(totals.broken == 0U);
}

// The histories are hard enough: the same ones break the bound where a box divides by the number of
// boxes that it sees.
BOOST_AUTO_TEST_CASE(fleet_dividedByBoxesSeen_isFoundToBreakItsBound)
{
    const Totals totals = playMany(divideByBoxesSeen, Load::Steady, historyCount());
    BOOST_TEST(totals.broken > historyCount() / 10);
}

// Guards against retries beyond the limit of a window that counts only one of two bursts.
BOOST_AUTO_TEST_CASE(take_retriesOfTwoBurstsInOneWindow_areThoseOfOne)
{
    FleetRetryBudget budget({Ratio, Step * StepsPerWindow, 0});
    std::size_t repeats = 0;
    const auto burstAt = [&](std::size_t requestsAt, std::size_t retriesAt) {
        for (std::size_t request = 0; request < 100; ++request) {
            budget.countRequest(Service, at(requestsAt));
        }
        while (budget.take(Service, at(retriesAt))) {
            ++repeats;
        }
    };
    burstAt(0, 99);
    burstAt(100, 100);
    BOOST_TEST(repeats > 0U);
    BOOST_TEST(static_cast<double>(repeats) <= Ratio * 100);
}

// Guards against a deployment that needs no care and gets no slack.
BOOST_AUTO_TEST_CASE(share_noOtherBoxIsPossible_hasAllAfterTheFirstWindow)
{
    FleetShare share;
    share.note({1, true}, at(0));
    BOOST_TEST(share.part() == 0.25);
    share.note({1, true}, at(100));
    BOOST_TEST(share.part() == 1);
}

// Guards against a small deployment without halls that can't repeat a request at its start.
BOOST_AUTO_TEST_CASE(share_noHallsAreListed_guessesUntilTheFleetIsKnown)
{
    FleetShare share({.guess = 32});
    share.note({1, false}, at(0));
    BOOST_TEST(share.part() == 0.25 / 32);
    share.note({2, true}, at(10));
    BOOST_TEST(share.part() == 0.25 / 32);
    share.note({2, true}, at(40));
    BOOST_TEST(share.part() == 0.25 / 2);
}

BOOST_AUTO_TEST_CASE(share_exampleTable_matches)
{
    FleetShare share;
    const auto partAfter = [&share](FleetSight sight, std::size_t step) {
        share.note(sight, at(step));
        return share.part();
    };
    BOOST_TEST(partAfter({1, false}, 0) == 0);
    BOOST_TEST(partAfter({1, false}, 700) == 0);
    BOOST_TEST(partAfter({4, true}, 710) == 0);
    BOOST_TEST(partAfter({4, true}, 740) == 0.25 / 4);
    BOOST_TEST(partAfter({4, true}, 840) == 1.0 / 4);
    BOOST_TEST(partAfter({2, false}, 850) == 1.0 / 4);
    BOOST_TEST(partAfter({2, false}, 5000) == 1.0 / 4);
    BOOST_TEST((share.knowledge() == FleetKnowledge::Remembered));
    BOOST_TEST(partAfter({1, false}, 5010) == 0);
    BOOST_TEST((share.knowledge() == FleetKnowledge::CutOff));
    BOOST_TEST(partAfter({3, true}, 5020) == 0.25 / 4);
    BOOST_TEST(partAfter({3, true}, 5610) == 1.0 / 4);
    BOOST_TEST(partAfter({3, true}, 5620) == 1.0 / 3);
}

// Guards against two parts of a fleet that each take themselves for all of it: a cut through the
// halls leaves boxes of every hall on both sides.
BOOST_AUTO_TEST_CASE(share_cutThroughTheHallsThatLasts_partsStayWithinTheWhole)
{
    for (const std::size_t fewer : {1, 2, 3, 4}) {
        FleetShare small;
        FleetShare large;
        for (std::size_t second = 0; second < 200; ++second) {
            const bool cut = second >= 30;
            small.note({cut ? fewer : 8, !cut || fewer > 1}, at(second * 10));
            large.note({cut ? 8 - fewer : 8, true}, at(second * 10));
        }
        const double all = static_cast<double>(fewer) * small.part()
                           + static_cast<double>(8 - fewer) * large.part();
        BOOST_TEST_CONTEXT(fewer << " of 8 boxes beyond the cut: " << text(small.knowledge()))
        {
            BOOST_TEST(all <= 1);
        }
    }
}

// The same for boxes that start beyond the cut and have never seen the others.
BOOST_AUTO_TEST_CASE(share_boxesStartBeyondACutThroughTheHalls_partsStayWithinTheWhole)
{
    FleetShare small;
    FleetShare large;
    for (std::size_t second = 0; second < 50; ++second) {
        large.note({second < 20 ? std::size_t{8} : std::size_t{6}, true}, at(second * 10));
        if (second >= 22) {
            small.note({2, true}, at(second * 10));
        }
    }
    BOOST_TEST(2 * small.part() + 6 * large.part() <= 1);
}

BOOST_AUTO_TEST_CASE(fleetSight_exampleTable_matches)
{
    using gateway::fleetSight;
    const gateway::ListedFleet halls{.ownHall = 1, .halls = {1, 2, 3}, .others = true};
    BOOST_TEST(!fleetSight(halls, {}).whole);
    BOOST_TEST(!fleetSight(halls, {1, 2}).whole);
    BOOST_TEST(fleetSight(halls, {2, 3}).whole);
    BOOST_TEST(fleetSight(halls, {2, 3}).boxes == 3U);
    const gateway::ListedFleet hall{.ownHall = 1, .halls = {}, .others = true};
    BOOST_TEST(!fleetSight(hall, {}).whole);
    BOOST_TEST(fleetSight(hall, {1}).whole);
    const gateway::ListedFleet box{.ownHall = 1, .halls = {}, .others = false};
    BOOST_TEST(fleetSight(box, {}).whole);
    const gateway::ListedFleet boxBesideHalls{.ownHall = 1, .halls = {1, 2}, .others = false};
    BOOST_TEST(fleetSight(boxBesideHalls, {}).whole);
}

BOOST_AUTO_TEST_SUITE_END()
