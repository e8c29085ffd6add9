// Each way on which backend servers see a request more than once, and what the boxes' budgets were
// charged for it.
// Guards against arrivals beyond the first that no budget counts, and against a request that runs
// more often than its route's max_attempts because several boxes send it.

#include "platform/CutBoxFixture.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>

using namespace limereel;
using namespace limereel::support;

namespace {

using Cut = CutBoxFixture::Cut;
using standin::RunnerFault;

constexpr std::size_t Servers = 3;
constexpr std::size_t MostUnused = 1;  ///< Repeats that were granted and came to nothing.
constexpr std::size_t MaxAttempts = 2; ///< Of the routes of requests that may be repeated.

/** What servers saw and boxes counted. */
struct Tally
{
    std::size_t beyond = 0;   ///< Arrivals beyond the first of each request.
    std::size_t mostRuns = 0; ///< Of one request.
    std::uint64_t charged = 0;
};

/** Boxes of which the first may be cut off from all servers. */
class RepeatWorld : public CutBoxFixture
{
public:
    void start(std::size_t cuttable, std::size_t others)
    {
        boxes_ = cuttable + others;
        startBoxes(cuttable, others);
    }

    /** Starts with a first box that knows that it is cut off. */
    void startCut(std::size_t others)
    {
        start(1, others);
        cut(0, Cut::Refused);
        letNotice(0);
    }

    /** The next request meets this, whichever server it reaches; those that follow may too. */
    void eachMeets(RunnerFault fault)
    {
        for (std::size_t index = 0; index < Servers; ++index) {
            runner(index).faults = {fault};
        }
    }

    void noneMeetsAny()
    {
        for (std::size_t index = 0; index < Servers; ++index) {
            runner(index).faults.clear();
        }
    }

    void allTurnAway()
    {
        for (std::size_t index = 0; index < Servers; ++index) {
            runner(index).turnsAway = true;
        }
    }

    void untilRuns(std::size_t count)
    {
        until([this, count] { return runs() >= count; }, "run " + std::to_string(count));
    }

    void finish(const std::shared_ptr<PendingCall> &pending)
    {
        until([&] { return pending->done; }, "the answer");
    }

    /** The box that serves a detour now. */
    std::size_t helper() const
    {
        std::size_t found = 1;
        for (std::size_t box = 1; box < boxes_; ++box) {
            const auto taken = counter(box, "detours_served", {{"result", "taken"}});
            found = taken > 0 ? box : found;
        }
        return found;
    }

    /** A box ends and is followed by one that knows nothing. */
    void replace(std::size_t box)
    {
        chargedBefore_ += charged(box);
        killBox(box);
        restartBox(box);
    }

    Tally tally()
    {
        std::map<std::string, std::size_t> arrivals;
        std::map<std::string, std::size_t> runs;
        for (std::size_t index = 0; index < Servers; ++index) {
            for (const standin::RunnerRecord &record : runner(index).records()) {
                ++arrivals[record.id];
                runs[record.id] += record.ran ? 1 : 0;
            }
        }
        Tally tally;
        for (const auto &[id, count] : arrivals) {
            tally.beyond += count - 1;
            tally.mostRuns = std::max(tally.mostRuns, runs[id]);
        }
        for (std::size_t box = 0; box < boxes_; ++box) {
            tally.charged += charged(box);
        }
        tally.charged += chargedBefore_;
        return tally;
    }

private:
    std::uint64_t charged(std::size_t box) const
    {
        return counter(box, "repeats", {{"granted", "yes"}, {"reason", "failed"}})
               + counter(box, "repeats", {{"granted", "yes"}, {"reason", "rejected"}});
    }

    std::uint64_t chargedBefore_ = 0; ///< By boxes that have ended.
    std::size_t boxes_ = 0;
};

/** One way. */
struct Way
{
    const char *name;
    std::size_t beyond; ///< Arrivals beyond the first that it leads to at least.
    void (*play)(RepeatWorld &world);
};

std::ostream &operator<<(std::ostream &stream, const Way &way)
{
    return stream << way.name;
}

template <RunnerFault Fault>
void meetStraight(RepeatWorld &world, const std::string &kind)
{
    world.start(0, 1);
    world.eachMeets(Fault);
    world.call(0, world.fresh(kind));
}

void keptConnectionIsStale(RepeatWorld &world)
{
    world.start(0, 1);
    for (std::size_t count = 0; count < 2 * Servers; ++count) {
        world.call(0, world.fresh("/again/"));
    }
    world.eachMeets(RunnerFault::ResetUnread);
    world.call(0, world.fresh("/again/"));
}

void serverIsSilent(RepeatWorld &world)
{
    world.start(0, 1);
    world.eachMeets(RunnerFault::Silent);
    const auto pending = world.begin(0, world.fresh("/again/"));
    world.untilRuns(1);
    world.noneMeetsAny();
    world.finish(pending);
}

void rejectStraight(RepeatWorld &world, const std::string &kind)
{
    world.start(0, 1);
    world.allTurnAway();
    world.call(0, world.fresh(kind));
}

void rejectThroughOthers(RepeatWorld &world, const std::string &kind, std::size_t others)
{
    world.startCut(others);
    world.allTurnAway();
    world.call(0, world.fresh(kind));
}

// One server turns it away there, none is left that this box may use.
void oneServerRejectsThroughOthers(RepeatWorld &world)
{
    world.startCut(2);
    world.allTurnAway();
    world.unlist(1);
    world.unlist(2);
    world.call(0, world.fresh("/again/"));
}

void rejectWithoutBudget(RepeatWorld &world)
{
    world.moreSettings = "retry-slack = 0\n";
    rejectThroughOthers(world, "/again/", 2);
}

template <RunnerFault Fault>
void meetThroughAnother(RepeatWorld &world, const std::string &kind)
{
    world.startCut(2);
    world.eachMeets(Fault);
    world.call(0, world.fresh(kind));
}

void helperIsLostAsItRepeats(RepeatWorld &world)
{
    world.startCut(2);
    const std::size_t before = world.runs();
    world.eachMeets(RunnerFault::Fail);
    const auto pending = world.begin(0, world.fresh("/again/"));
    world.untilRuns(before + 1);
    world.eachMeets(RunnerFault::Silent);
    world.untilRuns(before + 2);
    world.noneMeetsAny();
    world.replace(world.helper());
    world.finish(pending);
}

void ownRunThenThroughAnother(RepeatWorld &world)
{
    world.start(1, 2);
    world.eachMeets(RunnerFault::Silent);
    const auto pending = world.begin(0, world.fresh("/again/"));
    world.untilRuns(1);
    world.cut(0, Cut::Refused);
    world.eachMeets(RunnerFault::Fail);
    world.finish(pending);
}

const std::vector<Way> Ways = {
        {"straight, a failure", 1, [](auto &w) { meetStraight<RunnerFault::Fail>(w, "/again/"); }},
        {"straight, a reset after the run", 1,
         [](auto &w) { meetStraight<RunnerFault::ResetAfter>(w, "/again/"); }},
        {"straight, a reset before the run", 1,
         [](auto &w) { meetStraight<RunnerFault::ResetUnread>(w, "/again/"); }},
        {"straight, a stale kept connection", 1, keptConnectionIsStale},
        {"straight, another incarnation", 1,
         [](auto &w) { meetStraight<RunnerFault::Misdirect>(w, "/once/"); }},
        {"straight, rejections", 2, [](auto &w) { rejectStraight(w, "/again/"); }},
        {"straight, rejections, once only", 2, [](auto &w) { rejectStraight(w, "/once/"); }},
        {"straight, a stream that is taken up", 1,
         [](auto &w) { meetStraight<RunnerFault::CutStream>(w, "/resume/"); }},
        {"straight, a silent server", 1, serverIsSilent},
        {"own run, then through another box", 1, ownRunThenThroughAnother},
        {"another box, a failure", 1,
         [](auto &w) { meetThroughAnother<RunnerFault::Fail>(w, "/again/"); }},
        {"another box, a reset after the run", 1,
         [](auto &w) { meetThroughAnother<RunnerFault::ResetAfter>(w, "/again/"); }},
        {"another box, a stream that is taken up", 1,
         [](auto &w) { meetThroughAnother<RunnerFault::CutStream>(w, "/resume/"); }},
        {"another box, rejections", 2, [](auto &w) { rejectThroughOthers(w, "/again/", 1); }},
        {"two other boxes, rejections", 2, [](auto &w) { rejectThroughOthers(w, "/again/", 2); }},
        {"two other boxes, rejections, once only", 2,
         [](auto &w) { rejectThroughOthers(w, "/once/", 2); }},
        {"two other boxes, one server rejects", 1, oneServerRejectsThroughOthers},
        {"two other boxes, rejections, no budget left", 0, rejectWithoutBudget},
        {"another box is lost as it repeats", 1, helperIsLostAsItRepeats},
};

} // namespace

BOOST_AUTO_TEST_SUITE(RepeatChargeTest)

BOOST_DATA_TEST_CASE(arrival_beyondTheFirst_isChargedToABudgetAndRunsStayWithinMaxAttempts,
                     boost::unit_test::data::make(Ways), way)
{
    RepeatWorld world;
    way.play(world);
    const Tally tally = world.tally();
    BOOST_TEST_MESSAGE(way.name << ": " << tally.beyond << " beyond the first, " << tally.charged
                                << " charged, " << tally.mostRuns << " runs at most");
    BOOST_TEST(tally.beyond >= way.beyond);
    BOOST_TEST(tally.charged >= tally.beyond);
    BOOST_TEST(tally.charged <= tally.beyond + MostUnused);
    BOOST_TEST(tally.mostRuns <= MaxAttempts);
}

// Guards against a run that is given up for its silence by a box that doesn't pay for the repeat,
// while the box that would have to pay has nothing left: the caller gets a failure instead of a
// late answer.
BOOST_AUTO_TEST_CASE(run_silentThroughAnotherBoxAndOwnBoxHasNoRepeatLeft_isKept)
{
    constexpr std::size_t Earning = 60;
    RepeatWorld world;
    world.moreSettings = "retry-slack = 0\n";
    world.startCut(2);
    for (std::size_t count = 0; count < Earning; ++count) {
        world.call(1, world.fresh("/once/"));
        world.call(2, world.fresh("/once/"));
    }
    world.eachMeets(RunnerFault::Silent);
    const auto pending = world.begin(0, world.fresh("/again/"));
    const auto kept = [&] {
        return world.counter(1, "silent_attempts_kept") + world.counter(2, "silent_attempts_kept");
    };
    world.until([&] { return pending->done || kept() > 0; }, "the silence is noticed");
    BOOST_TEST_MESSAGE("box 0: repeats refused "
                       << world.counter(0, "repeats", {{"granted", "no"}, {"reason", "failed"}})
                       << ", granted "
                       << world.counter(0, "repeats", {{"granted", "yes"}, {"reason", "failed"}})
                       << ", status " << pending->answer.status);
    BOOST_TEST(kept() > 0U);
    BOOST_TEST(!pending->done);
}

BOOST_AUTO_TEST_SUITE_END()
