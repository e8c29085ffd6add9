// The time that a box may spend on relays that don't help before it asks the store: without a
// network, over relays that are lost, old, silent and slow in every order. The store's calls of
// whole halls are counted against what it takes.

#include "gateway/FeedPaces.h"
#include "store/FeedPace.h"
#include "store/SourceSelector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace limereel;
using kernel::Duration;
using kernel::Instant;
using store::FeedStep;

namespace {

constexpr Duration MessageTime = 2ms;
constexpr Duration UsualLatency = 4ms;
constexpr std::size_t StoreReadsPerSecond = 2000;
const Instant Begin = Instant(1000s);
const std::vector<std::uint64_t> Relays = {1, 2, 3};

/** What a relay does from \c Begin on; until then it passed on what the store held. */
enum class Relay : std::uint8_t {
    Lost,   ///< Says at once that it has lost the store.
    Ageing, ///< Passes on what other relays say, whose last confirmation gets older.
    Silent, ///< Doesn't answer.
    Slow,   ///< Says that it has lost the store just before it would be given up.
    Mixed,  ///< One of these for each question.
    Working ///< Goes on as before.
};

const std::array<Relay, 5> AllKinds = {Relay::Lost, Relay::Ageing, Relay::Silent, Relay::Slow,
                                       Relay::Mixed};

/** What happens to one box. */
struct Scene
{
    std::array<Relay, 3> relays{};
    Duration change{};                    ///< When the store acknowledges the change.
    Duration storeLatency = UsualLatency; ///< Of each answer.
    Duration storeBack{};                 ///< The store doesn't answer before.
    Duration relaysBack = 1h;             ///< From then on they work again.
};

kernel::GatewaySettings settings()
{
    kernel::GatewaySettings settings;
    settings.applyWithin = 2s;
    settings.drainWithin = 2s;
    settings.hallDrainWithin = 5s;
    settings.revokeWithin = 5s;
    settings.contact = 3s;
    settings.refuseUnconfirmedKeys = true;
    return settings;
}

/** One feed of a box: the steps of ObjectFeed, each with its time. */
class SearchingFeed
{
public:
    SearchingFeed(const Scene &scene, const gateway::FeedPaces &paces, std::uint64_t self,
                  std::uint64_t seed)
        : storeAllowed([] { return true; })
        , scene_(scene)
        , paces_(paces)
        , book_(paces.sources)
        , self_(self)
        , random_(seed)
        , confirmed_(Begin - MessageTime)
        , known_(confirmed_)
        , due_(Begin + std::chrono::milliseconds(random_() % 200))
    {
        book_.noteRelayAnswered(Relays.front());
    }

    Instant due() const { return due_; }

    /** Ends the running step and begins the next one. */
    void advance()
    {
        now_ = due_;
        if (finish_) {
            std::exchange(finish_, nullptr)();
        }
        begin();
    }

    void retryNow(Instant now)
    {
        if (pausing_ && now < due_) {
            due_ = now;
        }
    }

    bool heardFromStore() const { return heardFromStore_; }
    bool storeFailing() const { return book_.storeFailures() > 0 && failed_ >= confirmed_; }
    void noteStoreHeard() { book_.endStorePause(); }

    std::function<bool()> storeAllowed;
    std::function<void(Instant)> confirmed = [](Instant) {};
    std::optional<Instant> changeKnown;
    std::vector<Instant> storeCalls;

private:
    void begin()
    {
        const FeedStep step = nextStep();
        pausing_ = step.kind == FeedStep::Kind::Pause;
        switch (step.kind) {
        case FeedStep::Kind::Store:
            return askStore();
        case FeedStep::Kind::Relay:
            return askRelay(step);
        case FeedStep::Kind::Pause:
            failing_ = true;
            due_ = now_ + step.pause;
        }
    }

    FeedStep nextStep() const
    {
        const Duration search = store::searchTime(paces_.relaying, paces_.changeKnownWithin, self_);
        return book_.next(Relays, self_, now_, storeAllowed(), known_ + search);
    }

    store::AskTimes timesOf(const FeedStep &step) const
    {
        const Duration hold = step.proven ? store::relayHoldTime(paces_.relaying) : Duration(0);
        std::optional<Duration> left;
        if (step.askUntil) {
            left = *step.askUntil - now_;
        }
        return store::askTimes(hold, left);
    }

    void askRelay(const FeedStep &step)
    {
        const auto [hold, timeout] = timesOf(step);
        const Duration answered = std::min<Duration>(hold + MessageTime, timeout);
        Relay kind = scene_.relays[step.relay - 1];
        if (now_ >= Begin + scene_.relaysBack) {
            kind = Relay::Working;
        }
        while (kind == Relay::Mixed) {
            kind = AllKinds[random_() % AllKinds.size()];
        }
        switch (kind) {
        case Relay::Lost:
            return failLater(step.relay, std::min(MessageTime, timeout), store::RelayFault::Lost);
        case Relay::Slow:
            return failLater(step.relay, timeout, store::RelayFault::Lost);
        case Relay::Ageing:
            return answerLater(step.relay, answered);
        case Relay::Silent:
        case Relay::Mixed:
            return failLater(step.relay, timeout, store::RelayFault::Silent);
        case Relay::Working:
            return tellLater(step.relay, answered);
        }
    }

    // The relay's own watch is as long as it holds a question.
    void tellLater(std::uint64_t relay, Duration after)
    {
        due_ = now_ + after;
        finish_ = [this, relay] {
            book_.noteRelayAnswered(relay);
            heardFromStore_ = false;
            failing_ = false;
            confirm(now_ - store::relayHoldTime(paces_.relaying));
        };
    }

    void failLater(std::uint64_t relay, Duration after, store::RelayFault fault)
    {
        due_ = now_ + after;
        finish_ = [this, relay, fault] { book_.noteRelayFailed(relay, fault, now_); };
    }

    void answerLater(std::uint64_t relay, Duration after)
    {
        due_ = now_ + after;
        finish_ = [this, relay] {
            if (now_ - Begin > paces_.maxRelayedAge) {
                book_.noteRelayFailed(relay, store::RelayFault::Lost, now_);
                return;
            }
            book_.noteRelayAnswered(relay);
            heardFromStore_ = false;
            failing_ = false;
            confirm(Begin);
        };
    }

    void askStore()
    {
        storeCalls.push_back(now_);
        const store::FeedPace &pace = paces_.alone;
        const Duration age = now_ - confirmed_;
        const Duration watch = store::watchWait(pace, scene_.storeLatency, age);
        const Duration wait = failing_ ? Duration(0) : watch;
        if (now_ < Begin + scene_.storeBack) {
            due_ = now_ + wait + pace.answer;
            finish_ = [this] {
                book_.noteStoreFailed(true, now_, random_);
                failed_ = now_;
                failing_ = true;
                heardFromStore_ = false;
            };
            return;
        }
        const Instant ends = now_ + wait;
        const Instant told = changeKnown ? ends : std::clamp(Begin + scene_.change, now_, ends);
        due_ = told + scene_.storeLatency;
        finish_ = [this, asked = now_, told] {
            book_.noteStoreAnswered();
            heardFromStore_ = true;
            failing_ = false;
            if (told >= Begin + scene_.change && !changeKnown) {
                changeKnown = now_;
            }
            known_ = now_ - scene_.storeLatency;
            confirm(asked);
        };
    }

    void confirm(Instant asOf)
    {
        known_ = std::max(known_, asOf);
        confirmed_ = std::max(confirmed_, asOf);
        confirmed(now_);
    }

    Scene scene_;
    gateway::FeedPaces paces_;
    store::SourceSelector book_;
    std::uint64_t self_;
    std::mt19937_64 random_;
    Instant now_;
    Instant confirmed_;
    Instant known_; ///< When the store held nothing newer, with the time of a watch.
    Instant failed_;
    Instant due_;
    std::function<void()> finish_;
    bool pausing_ = false;
    bool failing_ = false;
    bool heardFromStore_ = false;
};

/** The feeds of one box: that of configurations and another one, which it lets ask the store. */
class SearchingBox
{
public:
    SearchingBox(const Scene &scene, const gateway::FeedPaces &other, std::uint64_t self,
                 std::uint64_t seed)
        : first_(scene, gateway::configurationPaces(settings()), self, seed)
        , second_(scene, other, self, seed + 1)
    {
        second_.storeAllowed = [this] { return !first_.storeFailing(); };
        first_.confirmed = [this](Instant now) {
            if (first_.heardFromStore()) {
                second_.noteStoreHeard();
            }
            second_.retryNow(now);
        };
    }

    void run(Duration until)
    {
        while (std::min(first_.due(), second_.due()) < Begin + until) {
            (first_.due() <= second_.due() ? first_ : second_).advance();
        }
    }

    const SearchingFeed &configurations() const { return first_; }
    const SearchingFeed &others() const { return second_; }

private:
    SearchingFeed first_;
    SearchingFeed second_;
};

/** How late a change became known, over all orders of relays and times of the change. */
struct Lateness
{
    Duration worst{};
    Duration total{};
    std::size_t late = 0;
    std::size_t never = 0; ///< Not within the time that was played.
    std::size_t checked = 0;

    void add(const Scene &scene, const SearchingFeed &feed, Duration bound)
    {
        ++checked;
        if (!feed.changeKnown) {
            ++never;
            return;
        }
        const Duration took = *feed.changeKnown - (Begin + scene.change);
        const Duration latency = 2 * scene.storeLatency;
        worst = std::max(worst, took);
        total += took;
        late += took > bound + latency ? 1 : 0;
    }
};

std::ostream &operator<<(std::ostream &out, const Lateness &lateness)
{
    const auto known = static_cast<std::int64_t>(lateness.checked - lateness.never);
    const Duration mean = lateness.total / std::max<std::int64_t>(known, 1);
    return out << lateness.never << " never and " << lateness.late << " late of "
               << lateness.checked << "; otherwise " << mean / 1ms << " ms, at worst "
               << lateness.worst / 1ms << " ms";
}

std::vector<std::array<Relay, 3>> orders()
{
    std::vector<std::array<Relay, 3>> all;
    for (const Relay first : AllKinds) {
        for (const Relay second : AllKinds) {
            for (const Relay third : AllKinds) {
                all.push_back({first, second, third});
            }
        }
    }
    return all;
}

using FeedOf = const SearchingFeed &(SearchingBox::*)() const;

/** Plays each order of relays with a change at each of many times. */
Lateness playAllOrders(int latencyMs, const gateway::FeedPaces &paces, FeedOf feed, Duration bound)
{
    Lateness lateness;
    std::uint64_t seed = 1;
    for (const std::array<Relay, 3> &order : orders()) {
        for (Duration change = 0ms; change < 5s; change += 130ms) {
            const Scene scene{order, change, std::chrono::milliseconds(latencyMs)};
            std::mt19937_64 name(seed);
            SearchingBox box(scene, paces, name(), seed);
            box.run(20s);
            lateness.add(scene, (box.*feed)(), bound);
            ++seed;
        }
    }
    BOOST_TEST_MESSAGE(lateness);
    return lateness;
}

/** The most calls in one second that the feeds of a hall make, whose relays stop at once. */
std::size_t mostCallsPerSecond(std::uint64_t boxes, const std::array<Relay, 3> &order,
                               Duration storeBack)
{
    std::vector<Instant> calls;
    for (std::uint64_t box = 0; box < boxes; ++box) {
        const Scene scene{order, 3s, UsualLatency, storeBack};
        std::mt19937_64 name(box);
        SearchingBox searching(scene, gateway::serverPaces(settings()), name(), box);
        searching.run(20s);
        for (const SearchingFeed *feed : {&searching.configurations(), &searching.others()}) {
            calls.insert(calls.end(), feed->storeCalls.begin(), feed->storeCalls.end());
        }
    }
    std::ranges::sort(calls);
    std::size_t most = 0;
    for (auto first = calls.begin(); first != calls.end(); ++first) {
        const auto last = std::lower_bound(first, calls.end(), *first + 1s);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    BOOST_TEST_MESSAGE(boxes << " boxes: " << most << " calls in the busiest second, "
                             << calls.size() << " in 20 s");
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FeedSearchTest)

// Guards against a configuration that was 3.1 s late: a box asked three relays without the store in
// turn, several times each, before it asked the store.
BOOST_DATA_TEST_CASE(configurations_noRelayHelps_storeIsAskedWithinTheBound,
                     boost::unit_test::data::make({4, 150}), latencyMs)
{
    const Lateness lateness = playAllOrders(latencyMs, gateway::serverPaces(settings()),
                                            &SearchingBox::configurations, settings().applyWithin);
    BOOST_TEST(lateness.late + lateness.never == 0U, lateness);
}

// The list of servers waited until the feed of configurations had the store's word.
BOOST_DATA_TEST_CASE(servers_noRelayHelps_storeIsAskedWithinTheBound,
                     boost::unit_test::data::make({4, 150}), latencyMs)
{
    const Lateness lateness = playAllOrders(latencyMs, gateway::serverPaces(settings()),
                                            &SearchingBox::others, settings().drainWithin);
    BOOST_TEST(lateness.late + lateness.never == 0U, lateness);
}

BOOST_DATA_TEST_CASE(hallDrains_noRelayHelps_storeIsAskedWithinTheBound,
                     boost::unit_test::data::make({4, 150}), latencyMs)
{
    const Lateness lateness = playAllOrders(latencyMs, gateway::hallDrainPaces(settings()),
                                            &SearchingBox::others, settings().hallDrainWithin);
    BOOST_TEST(lateness.late + lateness.never == 0U, lateness);
}

BOOST_DATA_TEST_CASE(hall_allRelaysStopAtOnce_storeIsNotOverrun,
                     boost::unit_test::data::make({28, 85, 300}), boxes)
{
    for (const Relay kind : AllKinds) {
        for (const Duration storeBack : {Duration(0s), Duration(6s)}) {
            const std::array<Relay, 3> order = {kind, kind, kind};
            const std::size_t calls =
                    mostCallsPerSecond(static_cast<std::uint64_t>(boxes), order, storeBack);
            BOOST_TEST(calls < StoreReadsPerSecond);
        }
    }
}

// A watch of the store confirms as of its start, which is long ago when it ends.
BOOST_AUTO_TEST_CASE(box_relaysWorkAgain_storeIsLeftToThem)
{
    for (const std::array<Relay, 3> &order : orders()) {
        Scene scene{order, 3s};
        scene.relaysBack = 8s;
        std::mt19937_64 name(1);
        SearchingBox box(scene, gateway::serverPaces(settings()), name(), 1);
        box.run(30s);
        BOOST_TEST_REQUIRE(!box.configurations().storeCalls.empty());
        BOOST_TEST((box.configurations().storeCalls.back() < Begin + 12s));
        BOOST_TEST((box.others().storeCalls.back() < Begin + 15s));
    }
}

// A box that asked the store as soon as one relay failed would bring all boxes of the hall there.
BOOST_DATA_TEST_CASE(hall_firstRelayStops_nextOneIsAskedInsteadOfTheStore,
                     boost::unit_test::data::make({28, 85, 300}), boxes)
{
    for (const Relay kind : {Relay::Lost, Relay::Silent, Relay::Slow}) {
        const std::array<Relay, 3> order = {kind, Relay::Working, Relay::Working};
        BOOST_TEST(mostCallsPerSecond(static_cast<std::uint64_t>(boxes), order, 0s) == 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
