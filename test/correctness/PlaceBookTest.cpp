// The admission decision of an owner: under loads beyond what a server can run, and for each
// failure.

#include "admission/PlaceBook.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <vector>

using namespace limereel;
using namespace limereel::admission;
using kernel::Duration;
using kernel::Instant;

namespace {

constexpr std::uint64_t Server = 7;

Instant at(Duration since)
{
    return Instant(1000s) + since;
}

Duration fromSeconds(double seconds)
{
    return Duration(std::llround(seconds * 1e6));
}

/** A request to a server with 4 slots, whose limit is 5. */
PlaceRequest requestOf(std::uint64_t request, Duration wait = 0ms, Duration late = 0ms)
{
    return {.request = request,
            .server = Server,
            .box = 1,
            .organisation = 1,
            .slots = 4,
            .wait = wait,
            .late = late};
}

struct BookFixture
{
    PlaceBook book;
    std::mt19937_64 random{5};

    Decision ask(const PlaceRequest &request, Instant now)
    {
        return book.ask(request, now, random);
    }
    Verdict verdict(const PlaceRequest &request, Instant now) { return ask(request, now).verdict; }

    void end(std::uint64_t request, Instant now) { book.end({request, Server}, now); }

    std::vector<Decision> settle(Instant now) { return book.settle(now, random); }

    /** Takes all five places with requests 101 to 105. */
    void fill(Instant now)
    {
        for (std::uint64_t request = 101; request <= 105; ++request) {
            BOOST_REQUIRE((verdict(requestOf(request), now) == Verdict::Granted));
        }
    }

    /** Takes all five places, after one that was held for \a hold has ended. A place then comes
     * free every fifth of that. */
    void fillKnown(Instant now, Duration hold = 500ms)
    {
        BOOST_REQUIRE((verdict(requestOf(100), now - hold) == Verdict::Granted));
        end(100, now);
        fill(now);
    }
};

/** What a load sends to one server, and what the server is like. */
struct World
{
    std::uint64_t seed = 1;
    std::uint32_t slots = 16;
    double meanService = 1.5; ///< Seconds.
    double load = 1;          ///< Multiple of what the slots can run.
    double shortestWait = 0.3;
    double longestWait = 2;
    double late = 0; ///< Seconds, for half of the requests.
    std::uint32_t priorities = 3;
    std::vector<double> organisations{1, 1, 1, 1}; ///< Parts of the load.
    std::uint32_t backlog = 48;                    ///< Requests that the server keeps waiting.
    double length = 120;                           ///< Seconds for which requests arrive.
    std::size_t owners = 1;                        ///< Books that grant places at random.
    double ownersUntil = 1e9; ///< Seconds after which only the first one is asked.
    double decrease = CapacityPolicy{}.decrease; ///< Of a limit after a rejection.
    double duplicates = 0;                       ///< Part of the messages that arrive twice.
    double lostEnds = 0;                         ///< Part of the ends that are lost.
    Duration lease = 20s;
};

/** What came of it. */
struct Outcome
{
    std::size_t sent = 0;
    std::size_t granted = 0;
    std::size_t inTime = 0; ///< Began to run within the objective.
    std::size_t rejected = 0;
    std::size_t queuedInVain = 0; ///< Queued and then refused.
    std::size_t outOfOrder = 0;   ///< Granted while a request waited that goes first.
    std::size_t aboveLimit = 0;   ///< Decisions with a load above the limit.
    std::size_t undecided = 0;    ///< Still waiting in the end.
    std::size_t lateServed = 0;   ///< Granted after the time for the objective.
    /** By window of 10 s in which they were sent, then organisation. */
    std::map<int, std::map<std::uint64_t, double>> sentBy;
    std::map<int, std::map<std::uint64_t, double>> grantedBy;
    /** By owner: the seconds and the limit at each grant. */
    std::map<std::size_t, std::vector<std::pair<double, std::uint32_t>>> limits;
};

/** A small event loop: requests arrive at random, the server runs as many as it has slots for
 * exponential times, keeps some more waiting, and rejects others. */
class Play
{
public:
    explicit Play(const World &world)
        : world_(world)
        , arrivals_(world.seed)
        , random_(world.seed + 1000)
        , books_(world.owners, PlaceBook({.capacity = {.decrease = world.decrease}}))
        , partOf_(world.organisations.begin(), world.organisations.end())
    {
    }

    Outcome run()
    {
        schedule(0, [this] { arrive(); });
        schedule(0, [this] { tick(); });
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
            for (std::size_t owner = 0; owner < books_.size(); ++owner) {
                for (const Decision &decision : books_[owner].settle(instant(), random_)) {
                    decided(owner, decision);
                }
            }
        }
        outcome_.undecided = waiting_.size();
        for (const PlaceBook &book : books_) {
            outcome_.undecided += book.anyWaiting() ? 1 : 0;
            outcome_.undecided += book.load(Server);
        }
        return outcome_;
    }

private:
    struct Event
    {
        double at;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    struct Sent
    {
        PlaceRequest ask;
        double at = 0;
        double service = 0; ///< Seconds.
        bool late = false;  ///< Queued among the late ones.
    };

    Instant instant() const { return at(fromSeconds(now_)); }

    void schedule(double delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++number_, std::move(action)});
    }

    static double uniform(std::mt19937_64 &random, double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    }

    static double exponential(std::mt19937_64 &random, double mean)
    {
        return -mean * std::log(1 - uniform(random, 0, 1));
    }

    // Lets leases end and waits lapse, also after the last arrival.
    void tick()
    {
        for (PlaceBook &book : books_) {
            book.expire(instant());
        }
        if (now_ < world_.length + 60) {
            schedule(0.05, [this] { tick(); });
        }
    }

    void arrive()
    {
        if (now_ > world_.length) {
            return;
        }
        schedule(exponential(arrivals_, world_.meanService / world_.slots / world_.load),
                 [this] { arrive(); });
        PlaceRequest ask{
                .request = ++request_,
                .server = Server,
                .box = 1 + arrivals_() % 20,
                .organisation = partOf_(arrivals_),
                .identity = request_,
                .priority = static_cast<std::uint32_t>(arrivals_() % world_.priorities),
                .slots = world_.slots,
                .wait = fromSeconds(uniform(arrivals_, world_.shortestWait, world_.longestWait)),
                .lease = world_.lease};
        ask.late = arrivals_() % 2 == 0 ? fromSeconds(world_.late) : Duration(0);
        const std::size_t owner = now_ < world_.ownersUntil ? arrivals_() % books_.size() : 0;
        outcome_.sent += 1;
        outcome_.sentBy[windowOf(now_)][ask.organisation] += 1;
        requests_[ask.request] = {ask, now_, exponential(arrivals_, world_.meanService)};
        const Decision decision = books_[owner].ask(ask, instant(), random_);
        decided(owner, decision);
        if (uniform(random_, 0, 1) < world_.duplicates) {
            schedule(exponential(random_, 0.05), [this, owner, ask] {
                const Decision again = books_[owner].ask(ask, instant(), random_);
                const bool wasQueued = waiting_.contains(ask.request);
                const bool runs = running_.contains(ask.request);
                // After its end a request has no place, whatever its ask was answered.
                const Verdict expected = wasQueued ? Verdict::Queued
                                         : runs    ? Verdict::Granted
                                                   : Verdict::Refused;
                outcome_.outOfOrder += again.verdict != expected ? 1 : 0;
            });
        }
    }

    void decided(std::size_t owner, const Decision &decision)
    {
        Sent &sent = requests_.at(decision.request);
        if (decision.verdict == Verdict::Queued) {
            sent.late = decision.expectedWait > sent.ask.wait;
            waiting_.insert(decision.request);
            return;
        }
        const bool waited = waiting_.erase(decision.request) > 0;
        if (decision.verdict == Verdict::Refused) {
            outcome_.queuedInVain += waited ? 1 : 0;
            return;
        }
        outcome_.limits[owner].emplace_back(now_, decision.limit);
        outcome_.aboveLimit += decision.load > decision.limit ? 1 : 0;
        outcome_.granted += 1;
        outcome_.grantedBy[windowOf(sent.at)][sent.ask.organisation] += 1;
        const bool late = sent.late || now_ > latestInTime(sent);
        outcome_.lateServed += late ? 1 : 0;
        if (books_.size() == 1) {
            outcome_.outOfOrder += std::any_of(waiting_.begin(), waiting_.end(), [&](auto other) {
                const Sent &waiting = requests_.at(other);
                const bool inTime = !waiting.late && now_ <= latestInTime(waiting);
                return inTime && (late || waiting.ask.priority < sent.ask.priority);
            });
        }
        place(owner, decision.request);
    }

    static int windowOf(double at) { return static_cast<int>(at / 10); }

    static double latestInTime(const Sent &sent)
    {
        return sent.at + kernel::seconds(sent.ask.wait);
    }

    void place(std::size_t owner, std::uint64_t request)
    {
        running_.insert(request);
        if (busy_ < world_.slots) {
            start(owner, request);
        } else if (backlog_.size() < world_.backlog) {
            backlog_.emplace_back(owner, request);
        } else {
            outcome_.rejected += 1;
            schedule(0.002, [this, owner, request] { finish(owner, request, true); });
        }
    }

    void start(std::size_t owner, std::uint64_t request)
    {
        ++busy_;
        // The box keeps a part of the objective back for a place beyond the slots.
        const double kept = world_.meanService / 2;
        outcome_.inTime += now_ <= latestInTime(requests_.at(request)) + kept ? 1 : 0;
        schedule(requests_.at(request).service, [this, owner, request] {
            --busy_;
            if (!backlog_.empty()) {
                const auto [nextOwner, next] = backlog_.front();
                backlog_.pop_front();
                start(nextOwner, next);
            }
            finish(owner, request, false);
        });
    }

    void finish(std::size_t owner, std::uint64_t request, bool rejected)
    {
        running_.erase(request);
        if (uniform(random_, 0, 1) < world_.lostEnds) {
            return;
        }
        const PlaceEnd end{.request = request, .server = Server, .rejected = rejected};
        books_[owner].end(end, instant());
        if (uniform(random_, 0, 1) < world_.duplicates) {
            schedule(exponential(random_, 0.05),
                     [this, owner, end] { books_[owner].end(end, instant()); });
        }
    }

    World world_;
    std::mt19937_64 arrivals_; ///< Worlds that differ in one thing have the same arrivals.
    std::mt19937_64 random_;
    std::vector<PlaceBook> books_;
    std::discrete_distribution<std::uint64_t> partOf_;
    std::priority_queue<Event> events_;
    std::uint64_t number_ = 0;
    std::uint64_t request_ = 0;
    double now_ = 0;
    std::map<std::uint64_t, Sent> requests_;
    std::set<std::uint64_t> waiting_; ///< Queued requests.
    std::set<std::uint64_t> running_; ///< Requests that run or wait at the server.
    std::deque<std::pair<std::size_t, std::uint64_t>> backlog_;
    std::uint32_t busy_ = 0;
    Outcome outcome_;
};

Outcome play(const World &world)
{
    return Play(world).run();
}

/** Max-min fair parts of a capacity: the smallest demand is met, or gets an equal part of what is
 * left, and so on. */
std::map<std::uint64_t, double> maxMin(const std::map<std::uint64_t, double> &demands,
                                       double capacity)
{
    std::vector<std::pair<double, std::uint64_t>> byDemand;
    for (const auto &[organisation, demand] : demands) {
        byDemand.emplace_back(demand, organisation);
    }
    std::sort(byDemand.begin(), byDemand.end());
    std::map<std::uint64_t, double> parts;
    auto left = static_cast<double>(byDemand.size());
    for (const auto &[demand, organisation] : byDemand) {
        parts[organisation] = std::min(demand, capacity / left);
        capacity -= parts[organisation];
        left -= 1;
    }
    return parts;
}

/** An engine, and a server of a plain service. */
World engineWorld(std::uint64_t seed)
{
    return {.seed = seed};
}

World plainWorld(std::uint64_t seed)
{
    return {.seed = seed,
            .slots = 6,
            .meanService = 0.015,
            .shortestWait = 0.08,
            .longestWait = 0.25,
            .backlog = 24,
            .length = 20,
            .lease = 2s};
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlaceBookTest)

// Guards against a fleet that answers fewer requests in time the more are sent, since it queues
// those that can't be answered in time or lets the server reject them.
BOOST_AUTO_TEST_CASE(play_loadsBeyondTheServer_asManyAreInTimeAsAtFullLoad)
{
    for (const auto &worldOf : {engineWorld, plainWorld}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            World world = worldOf(seed);
            const Outcome full = play(world);
            BOOST_TEST(full.inTime > 0.8 * static_cast<double>(full.sent));
            for (const double load : {1.5, 2.0, 5.0}) {
                BOOST_TEST_CONTEXT("seed " << seed << ", slots " << world.slots << ", load "
                                           << load)
                {
                    world.load = load;
                    const Outcome over = play(world);
                    BOOST_TEST_MESSAGE("in time " << over.inTime << " of " << over.sent
                                                  << ", at full load " << full.inTime << " of "
                                                  << full.sent << ", queued in vain "
                                                  << over.queuedInVain);
                    BOOST_TEST(over.inTime >= 0.9 * static_cast<double>(full.inTime));
                    BOOST_TEST(over.rejected == 0U);
                    BOOST_TEST(over.aboveLimit == 0U);
                    BOOST_TEST(over.undecided == 0U);
                }
            }
        }
    }
}

// Guards against a place for a request of low priority, or a late one, while an in-time one of
// higher priority waits.
BOOST_AUTO_TEST_CASE(play_priorities_noInTimeRequestWaitsWhileALowerOneIsGranted)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const double load : {0.9, 1.0, 1.5, 2.0, 5.0}) {
            for (const double late : {0.0, 5.0}) {
                BOOST_TEST_CONTEXT("seed " << seed << ", load " << load << ", late " << late)
                {
                    World world = engineWorld(seed);
                    world.load = load;
                    world.late = late;
                    const Outcome outcome = play(world);
                    BOOST_TEST(outcome.outOfOrder == 0U);
                    BOOST_TEST(outcome.undecided == 0U);
                }
            }
        }
    }
}

// Guards against late requests that take the places of in-time ones: with them, as many are
// answered in time as without.
BOOST_AUTO_TEST_CASE(play_halfMayBeLate_asManyAreInTimeAsWithoutLateOnes)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        for (const double load : {1.0, 2.0, 5.0}) {
            BOOST_TEST_CONTEXT("seed " << seed << ", load " << load)
            {
                World world = engineWorld(seed);
                world.load = load;
                const Outcome without = play(world);
                world.late = 5;
                const Outcome with = play(world);
                BOOST_TEST_MESSAGE("in time " << with.inTime << ", without late ones "
                                              << without.inTime << ", late " << with.lateServed
                                              << ", queued in vain " << with.queuedInVain);
                BOOST_TEST(with.inTime >= 0.95 * static_cast<double>(without.inTime));
            }
        }
    }
}

// Guards against an organisation that takes from others by sending more: it gets what the others
// leave, and they get what max-min fairness gives them.
BOOST_AUTO_TEST_CASE(play_oneOrganisationSurges_othersKeepTheirMaxMinShares)
{
    constexpr double Surge = 7.5;
    // Usual loads as parts of what the server can run, first of the one that surges.
    const std::vector<std::vector<double>> usuals = {
            {0.2, 0.2, 0.2, 0.2}, {0.15, 0.1, 0.25, 0.3}, {0.3, 0.2, 0.4, 0.6}};
    for (const std::vector<double> &usual : usuals) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            World world = engineWorld(seed);
            world.priorities = 1;
            world.length = 400;
            world.organisations = usual;
            world.organisations[0] *= Surge;
            world.load = 0;
            for (const double part : world.organisations) {
                world.load += part;
            }
            const Outcome outcome = play(world);
            // No owner can make up later for what was sent long ago, so the reference shares the
            // places among the requests that were sent within the same 10 s.
            std::map<std::uint64_t, double> fair;
            std::map<std::uint64_t, double> got;
            std::map<std::uint64_t, double> sent;
            for (const auto &[window, demands] : outcome.sentBy) {
                double capacity = 0;
                for (const auto &[organisation, granted] : outcome.grantedBy.at(window)) {
                    got[organisation] += granted;
                    capacity += granted;
                }
                for (const auto &[organisation, part] : maxMin(demands, capacity)) {
                    fair[organisation] += part;
                    sent[organisation] += demands.at(organisation);
                }
            }
            for (std::uint64_t organisation = 1; organisation < usual.size(); ++organisation) {
                BOOST_TEST_CONTEXT("seed " << seed << ", load " << world.load << ", organisation "
                                           << organisation)
                {
                    BOOST_TEST_MESSAGE("sent " << sent[organisation] << ", granted "
                                               << got[organisation] << ", fair "
                                               << fair[organisation]);
                    // What is left open is the chance in when requests arrive.
                    BOOST_TEST(got[organisation] >= 0.95 * fair[organisation]);
                }
            }
        }
    }
}

// Guards against duplicated messages that take places, end them twice or change an answer.
BOOST_AUTO_TEST_CASE(play_duplicatedMessages_answersAndCountsHold)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            World world = engineWorld(seed);
            world.load = 2;
            world.duplicates = 0.3;
            const Outcome outcome = play(world);
            BOOST_TEST(outcome.outOfOrder == 0U);
            BOOST_TEST(outcome.aboveLimit == 0U);
            BOOST_TEST(outcome.undecided == 0U);
        }
    }
}

// Guards against places that stay taken after their ends were lost.
BOOST_AUTO_TEST_CASE(play_lostEnds_leasesFreeThePlaces)
{
    World world = engineWorld(1);
    world.load = 2;
    world.lostEnds = 0.05;
    const Outcome outcome = play(world);
    BOOST_TEST(outcome.undecided == 0U);
    BOOST_TEST(outcome.outOfOrder == 0U);
}

// Guards against two owners that both grant all places for good, and against a limit that stays
// low once one of them is gone.
BOOST_AUTO_TEST_CASE(play_twoOwnersForAWhile_limitComesDownAndRisesAgain)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            World world = engineWorld(seed);
            world.load = 4;
            world.owners = 2;
            // Both limits together are 34 places, and the server rejects from the 25th on.
            world.backlog = 8;
            world.ownersUntil = 120;
            world.length = 240;
            const Outcome outcome = play(world);
            const auto limitsIn = [&](std::size_t owner, double from, double to) {
                std::vector<std::uint32_t> limits;
                for (const auto &[when, limit] : outcome.limits.at(owner)) {
                    if (when >= from && when < to) {
                        limits.push_back(limit);
                    }
                }
                BOOST_REQUIRE(!limits.empty());
                return limits;
            };
            double both = 0;
            for (std::size_t owner = 0; owner < world.owners; ++owner) {
                const auto during = limitsIn(owner, 60, 120);
                both += std::accumulate(during.begin(), during.end(), 0.0)
                        / static_cast<double>(during.size());
                BOOST_TEST(*std::min_element(during.begin(), during.end()) >= 6U);
            }
            BOOST_TEST_MESSAGE("limits of both " << both << ", rejected " << outcome.rejected
                                                 << " of " << outcome.granted << " granted, "
                                                 << outcome.sent << " sent");
            // The 24 requests that the server keeps, and one round's increase of each owner.
            BOOST_TEST(both <= 26);
            const auto after = limitsIn(0, 200, 240);
            // The slots and one, since places are held for 1.5 s.
            BOOST_TEST(after.back() == 17U);
            world.decrease = 1;
            const Outcome fixed = play(world);
            BOOST_TEST_MESSAGE("with fixed limits rejected " << fixed.rejected);
            BOOST_TEST(outcome.rejected * 4 < fixed.rejected);
        }
    }
}

// Guards against a free place that isn't given at once, and against more places than the limit.
BOOST_FIXTURE_TEST_CASE(ask_freePlaces_areGrantedUpToTheLimit, BookFixture)
{
    fill(at(0s));
    BOOST_TEST(book.load(Server) == 5U);
    const Decision refused = ask(requestOf(1), at(0s));
    BOOST_TEST((refused.verdict == Verdict::Refused));
    BOOST_TEST(refused.limit == 5U);
    BOOST_TEST(refused.load == 5U);
    BOOST_TEST((refused.comeBack == 50ms));
}

// Guards against a caller that waits for a place which comes too late for it.
BOOST_FIXTURE_TEST_CASE(ask_allTaken_isQueuedOnlyIfItCanBeginInTime, BookFixture)
{
    fillKnown(at(0s));
    BOOST_TEST((verdict(requestOf(1, 99ms), at(0s)) == Verdict::Refused));
    const Decision queued = ask(requestOf(2, 100ms), at(0s));
    BOOST_TEST((queued.verdict == Verdict::Queued));
    BOOST_TEST((queued.expectedWait == 100ms));
    BOOST_TEST((verdict(requestOf(3, 199ms), at(0s)) == Verdict::Refused));
    BOOST_TEST((verdict(requestOf(4, 200ms), at(0s)) == Verdict::Queued));
    BOOST_TEST(book.anyWaiting());
}

// Guards against a place that is given to a new request although it was freed for one that waits.
BOOST_FIXTURE_TEST_CASE(ask_freedPlaceAndOneWaits_newOneStandsBehind, BookFixture)
{
    fillKnown(at(0s));
    BOOST_TEST((verdict(requestOf(1, 1s), at(0s)) == Verdict::Queued));
    end(101, at(10ms));
    BOOST_TEST((verdict(requestOf(2, 2s), at(10ms)) == Verdict::Queued));
    const auto decided = settle(at(10ms));
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST(decided[0].request == 1U);
    BOOST_TEST((decided[0].verdict == Verdict::Granted));
    BOOST_TEST(decided[0].box == 1U);
    BOOST_TEST(book.load(Server) == 5U);
}

// Guards against a request that is only refused at its deadline, although a more urgent one took
// the place that it waits for.
BOOST_FIXTURE_TEST_CASE(settle_pushedBackByAMoreUrgentOne_isRefusedThen, BookFixture)
{
    fillKnown(at(0s));
    // The requests of higher priority that took the places are too long ago to be counted on.
    PlaceRequest low = requestOf(1, 150ms);
    low.priority = 2;
    BOOST_TEST((verdict(low, at(5s)) == Verdict::Queued));
    BOOST_TEST(settle(at(5s)).empty());
    BOOST_TEST((verdict(requestOf(2, 150ms), at(5s)) == Verdict::Queued));
    const auto decided = settle(at(5s));
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST(decided[0].request == 1U);
    BOOST_TEST((decided[0].verdict == Verdict::Refused));
    BOOST_TEST(decided[0].waiting == 1U);
    BOOST_TEST((decided[0].comeBack >= 100ms));
}

// Guards against a request that waits on when its time is over while nothing else happens.
BOOST_FIXTURE_TEST_CASE(settle_nothingEnds_waitIsRefusedWhenItsTimeIsOver, BookFixture)
{
    fill(at(0s));
    BOOST_TEST((verdict(requestOf(1, 150ms), at(0s)) == Verdict::Queued));
    BOOST_TEST(settle(at(145ms)).empty());
    BOOST_TEST(settle(at(150ms)).empty());
    BOOST_TEST(settle(at(150ms) + Duration(1)).size() == 1U);
    BOOST_TEST(!book.anyWaiting());
}

// Guards against a grant to a request whose time passed before the owner came to it.
BOOST_FIXTURE_TEST_CASE(settle_placeFreedAfterItsTime_skipsAndRefuses, BookFixture)
{
    fill(at(0s));
    BOOST_TEST((verdict(requestOf(1, 100ms), at(0s)) == Verdict::Queued));
    BOOST_TEST((verdict(requestOf(2, 500ms), at(0s)) == Verdict::Queued));
    end(101, at(200ms));
    const auto decided = settle(at(200ms));
    BOOST_REQUIRE(decided.size() == 2U);
    BOOST_TEST(decided[0].request == 2U);
    BOOST_TEST((decided[0].verdict == Verdict::Granted));
    BOOST_TEST(decided[1].request == 1U);
    BOOST_TEST((decided[1].verdict == Verdict::Refused));
}

// Guards against late requests that are refused though there is room for them, or that stand
// before in-time ones.
BOOST_FIXTURE_TEST_CASE(ask_lateWithSpareCapacity_isQueuedBehindInTimeOnes, BookFixture)
{
    fillKnown(at(0s));
    // Nothing else asks, so all places that come free are left.
    BOOST_TEST((verdict(requestOf(1, 0ms, 3s), at(3s)) == Verdict::Queued));
    PlaceRequest low = requestOf(2, 500ms);
    low.priority = 2;
    BOOST_TEST((verdict(low, at(3s)) == Verdict::Queued));
    end(101, at(3s));
    const auto decided = settle(at(3s));
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST(decided[0].request == 2U);
}

// Guards against late requests that wait for places which in-time requests will take.
BOOST_FIXTURE_TEST_CASE(ask_lateWhileInTimeAsksTakeAll_isRefused, BookFixture)
{
    fillKnown(at(0s));
    // Ten places a second come free; twenty in-time requests a second are accepted.
    for (std::uint64_t request = 1; request <= 60; ++request) {
        BOOST_TEST((verdict(requestOf(request, 10s), at(50ms * request)) == Verdict::Queued));
        BOOST_TEST(settle(at(50ms * request)).empty());
    }
    // The queue alone would take 6.1 s.
    BOOST_TEST((verdict(requestOf(200, 0ms, 10s), at(3s)) == Verdict::Refused));
    // A while after the last of them it is queued.
    BOOST_TEST((verdict(requestOf(201, 0ms, 10s), at(6s)) == Verdict::Queued));
}

// Guards against late requests that are queued beyond the difference: at half of the rate each
// waits twice as long.
BOOST_FIXTURE_TEST_CASE(ask_lateWhileHalfIsLeft_waitsTwiceAsLong, BookFixture)
{
    fillKnown(at(0s));
    // Ten places a second come free; five in-time requests a second get one.
    for (std::uint64_t request = 1; request <= 50; ++request) {
        const Instant now = at(200ms * request);
        const std::uint64_t oldest = request <= 5 ? 100 + request : request - 5;
        book.end({.request = oldest, .server = Server, .unused = true}, now);
        BOOST_TEST((verdict(requestOf(request, 1ms), now) == Verdict::Granted));
    }
    std::size_t queued = 0;
    for (std::uint64_t request = 200; request < 300; ++request) {
        queued += verdict(requestOf(request, 0ms, 4s), at(10s)) == Verdict::Queued ? 1 : 0;
    }
    // 40 places come free in 4 s, and about half of them are left.
    BOOST_TEST(queued >= 15U);
    BOOST_TEST(queued <= 25U);
}

// Guards against late requests that wait on until their deadline after in-time ones have come to
// need all places.
BOOST_FIXTURE_TEST_CASE(settle_inTimeAsksComeToTakeAll_lateOnesAreRefusedEarly, BookFixture)
{
    fillKnown(at(0s));
    for (std::uint64_t request = 1; request <= 10; ++request) {
        BOOST_TEST((verdict(requestOf(request, 0ms, 18s), at(3s)) == Verdict::Queued));
    }
    std::size_t refusedLate = 0;
    for (std::uint64_t request = 100; request < 200; ++request) {
        const Instant now = at(3s + 30ms * (request - 99));
        // The queue alone would take 11 s, and the late ones can wait for 15 s more.
        BOOST_TEST((verdict(requestOf(1000 + request, 10s), now) == Verdict::Queued));
        for (const Decision &decision : settle(now)) {
            refusedLate += decision.request <= 10 ? 1 : 0;
        }
    }
    BOOST_TEST(refusedLate == 10U);
}

// Guards against a promise that isn't kept: a caller that returns when it was told to goes before
// first-time requests of its priority, and only once.
BOOST_FIXTURE_TEST_CASE(ask_returnsAsTold_goesBeforeFirstTimeRequests, BookFixture)
{
    fillKnown(at(0s));
    // Refused behind 20 others, which then leave: the return can still meet the first objective.
    for (std::uint64_t request = 1001; request <= 1020; ++request) {
        BOOST_TEST((verdict(requestOf(request, 2s), at(0s)) == Verdict::Queued));
    }
    PlaceRequest first = requestOf(1, 2s + 50ms);
    first.identity = 77;
    const Decision refused = ask(first, at(0s));
    BOOST_TEST((refused.verdict == Verdict::Refused));
    for (std::uint64_t request = 1001; request <= 1020; ++request) {
        book.end({.request = request, .server = Server, .unused = true}, at(0s));
    }
    const Instant then = at(0s) + refused.comeBack;
    BOOST_REQUIRE((then <= at(1s)));
    BOOST_TEST((verdict(requestOf(2, 300ms), then) == Verdict::Queued));
    PlaceRequest again = requestOf(3, 400ms);
    again.identity = 77;
    // A probe that may not wait leaves the promise to the ask that may.
    PlaceRequest probe = requestOf(5);
    probe.identity = 77;
    BOOST_TEST((verdict(probe, then) == Verdict::Refused));
    const Decision queued = ask(again, then);
    BOOST_TEST((queued.expectedWait == 100ms));
    PlaceRequest third = requestOf(4, 500ms);
    third.identity = 77;
    BOOST_TEST((ask(third, then).expectedWait == 300ms));
}

// Guards against a return that can no longer meet the first objective and takes a place from one
// that can, also from one of lower priority; and against a promise that is worth nothing then.
BOOST_FIXTURE_TEST_CASE(ask_returnsAsToldAfterItsObjective_standsBetweenInTimeAndLateOnes,
                        BookFixture)
{
    fillKnown(at(0s));
    PlaceRequest first = requestOf(1, 50ms);
    first.identity = 77;
    const Decision refused = ask(first, at(0s));
    BOOST_TEST((refused.verdict == Verdict::Refused));
    BOOST_TEST((refused.comeBack > 50ms));
    const Instant then = at(0s) + refused.comeBack;
    PlaceRequest late = requestOf(2, 0ms, 4s);
    BOOST_TEST((verdict(late, then) == Verdict::Queued));
    PlaceRequest again = requestOf(3, 400ms, 4s);
    again.identity = 77;
    BOOST_TEST((verdict(again, then) == Verdict::Queued));
    PlaceRequest inTime = requestOf(4, 1s);
    inTime.priority = 2;
    BOOST_TEST((verdict(inTime, then) == Verdict::Queued));
    std::vector<std::uint64_t> order;
    for (std::uint64_t request = 101; request <= 103; ++request) {
        end(request, then);
        for (const Decision &decision : settle(then)) {
            BOOST_TEST((decision.verdict == Verdict::Granted));
            order.push_back(decision.request);
        }
    }
    const std::vector<std::uint64_t> expected = {4, 3, 2};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

// Guards against a return whose caller has no use for a late answer and that waits in vain.
BOOST_FIXTURE_TEST_CASE(ask_returnsAfterItsObjectiveAndMayNotBeLate_isRefused, BookFixture)
{
    fillKnown(at(0s));
    PlaceRequest first = requestOf(1, 50ms);
    first.identity = 77;
    const Decision refused = ask(first, at(0s));
    BOOST_TEST((refused.verdict == Verdict::Refused));
    PlaceRequest again = requestOf(2, 400ms);
    again.identity = 77;
    const Instant then = at(0s) + refused.comeBack;
    BOOST_TEST((verdict(again, then) == Verdict::Refused));
    BOOST_TEST((verdict(requestOf(3, 400ms), then) == Verdict::Queued));
}

// Guards against an early return that gains something: it stands by its first objective, and is
// refused when that can't be met.
BOOST_FIXTURE_TEST_CASE(ask_returnsEarly_standsBehind, BookFixture)
{
    fillKnown(at(0s));
    for (std::uint64_t request = 1001; request <= 1003; ++request) {
        BOOST_TEST((verdict(requestOf(request, 300ms), at(0s)) == Verdict::Queued));
    }
    PlaceRequest first = requestOf(1, 350ms);
    first.identity = 77;
    BOOST_TEST((verdict(first, at(0s)) == Verdict::Refused));
    PlaceRequest hasty = requestOf(5, 50ms);
    hasty.identity = 78;
    BOOST_TEST((verdict(hasty, at(0s)) == Verdict::Refused));
    for (std::uint64_t request = 1001; request <= 1003; ++request) {
        book.end({.request = request, .server = Server, .unused = true}, at(0s));
    }
    BOOST_TEST((verdict(requestOf(2, 300ms), at(50ms)) == Verdict::Queued));
    PlaceRequest again = requestOf(3, 400ms);
    again.identity = 77;
    BOOST_TEST((ask(again, at(50ms)).expectedWait == 200ms));
    hasty = requestOf(6, 400ms);
    hasty.identity = 78;
    BOOST_TEST((verdict(hasty, at(50ms)) == Verdict::Refused));
}

// Guards against a request that waits for places which those of higher priority will take, and is
// refused only when it is pushed back.
BOOST_FIXTURE_TEST_CASE(ask_higherPrioritiesTakeAll_lowerIsRefusedAtOnce, BookFixture)
{
    fillKnown(at(0s));
    // Ten places a second come free; twenty requests a second of priority 1 are accepted.
    for (std::uint64_t request = 1; request <= 60; ++request) {
        PlaceRequest higher = requestOf(request, 10s);
        higher.priority = 1;
        BOOST_TEST((verdict(higher, at(50ms * request)) == Verdict::Queued));
    }
    // The queue alone would take 6.1 s.
    PlaceRequest lower = requestOf(200, 60s);
    lower.priority = 2;
    BOOST_TEST((verdict(lower, at(3s)) == Verdict::Refused));
    // Equal ones take their turns, and higher ones go first.
    for (const std::uint32_t priority : {1U, 0U}) {
        PlaceRequest other = requestOf(300 + priority, 60s);
        other.priority = priority;
        BOOST_TEST((verdict(other, at(3s)) == Verdict::Queued));
    }
    lower.request = 201;
    BOOST_TEST((verdict(lower, at(8s)) == Verdict::Queued));
}

// Guards against a wait that is told shorter than the one by which the request was queued: its box
// would give it up too early.
BOOST_FIXTURE_TEST_CASE(ask_higherPrioritiesTakeHalf_tellsTheWaitForTheRest, BookFixture)
{
    fillKnown(at(0s));
    for (std::uint64_t request = 1; request <= 50; ++request) {
        const Instant now = at(200ms * request);
        const std::uint64_t oldest = request <= 5 ? 100 + request : request - 5;
        book.end({.request = oldest, .server = Server, .unused = true}, now);
        BOOST_TEST((verdict(requestOf(request, 1ms), now) == Verdict::Granted));
    }
    // Five a second, of which the last has just come: 1 / (1 - exp(-0.2)) = 5.517 in the last
    // second. Of ten places that come free every second 4.483 are left.
    const double turn = 1 / (10 - 1 / (1 - std::exp(-0.2)));
    PlaceRequest lower = requestOf(200, 1s);
    lower.priority = 1;
    const Decision queued = ask(lower, at(10s));
    BOOST_TEST((queued.verdict == Verdict::Queued));
    BOOST_TEST(std::abs(kernel::seconds(queued.expectedWait) - turn) < 1e-3);
    BOOST_TEST((ask(lower, at(10s)) == queued));
    const Decision late = ask(requestOf(201, 0ms, 1s), at(10s));
    BOOST_TEST((late.verdict == Verdict::Queued));
    // It stands behind the one in time, which is in the count of those accepted as well.
    const double lateTurn = 1 / (10 - 1 / (1 - std::exp(-0.2)) - 1);
    BOOST_TEST(std::abs(kernel::seconds(late.expectedWait) - 2 * lateTurn) < 1e-3);
    BOOST_TEST((ask(requestOf(201, 0ms, 1s), at(10s)) == late));
    lower.request = 202;
    lower.wait = fromSeconds(turn) - 2ms;
    BOOST_TEST((verdict(lower, at(10s)) == Verdict::Refused));
}

// Guards against a probe of a low priority that is told to come back after an hour, though the
// demand of higher priorities may fall within seconds.
BOOST_FIXTURE_TEST_CASE(ask_higherPrioritiesTakeAll_probeComesBackAsAQuarterAllows, BookFixture)
{
    fillKnown(at(0s));
    // Ten places a second come free; twenty requests a second of priority 1 are accepted.
    for (std::uint64_t request = 1; request <= 60; ++request) {
        PlaceRequest higher = requestOf(request, 10s);
        higher.priority = 1;
        BOOST_TEST((verdict(higher, at(50ms * request)) == Verdict::Queued));
    }
    PlaceRequest probe = requestOf(200);
    probe.priority = 2;
    const Decision refused = ask(probe, at(3s));
    BOOST_TEST((refused.verdict == Verdict::Refused));
    BOOST_TEST((refused.expectedWait == LongestWait));
    // The queue alone takes 6.1 s; a quarter of the places that come free takes four times that.
    BOOST_TEST((refused.comeBack == 24400ms));
    // An equal one has no higher ones to wait for and is told its wait.
    probe.request = 201;
    probe.priority = 1;
    const Decision equal = ask(probe, at(3s));
    BOOST_TEST((equal.verdict == Verdict::Refused));
    BOOST_TEST((equal.expectedWait < LongestWait));
    BOOST_TEST((equal.comeBack == equal.expectedWait));
}

// Guards against requests of a low priority that count as higher ones than their equals.
BOOST_FIXTURE_TEST_CASE(ask_lowPrioritiesCountedTogether_doNotCompeteWithEachOther, BookFixture)
{
    fillKnown(at(-10s));
    for (std::uint64_t request = 1; request <= 20; ++request) {
        PlaceRequest low = requestOf(request, 10s);
        low.priority = 20;
        // Nothing of a higher priority was accepted lately: 5 exp(-10) of ten are below 0.3 ms.
        const Decision queued = ask(low, at(0s));
        BOOST_TEST((queued.verdict == Verdict::Queued));
        BOOST_TEST((queued.expectedWait >= 100ms * request));
        BOOST_TEST((queued.expectedWait <= (100ms + Duration(10)) * request));
    }
}

// Guards against an answer that an earlier build doesn't know, while no place has ended and so no
// wait is known.
BOOST_FIXTURE_TEST_CASE(ask_mayNotWaitAndNoWaitIsKnown_isNeverQueued, BookFixture)
{
    fill(at(0s));
    BOOST_TEST((verdict(requestOf(1, 1s), at(0s)) == Verdict::Queued));
    BOOST_TEST((verdict(requestOf(2), at(0s)) == Verdict::Refused));
}

// Guards against returns that are reserved for callers that never wait or can't be recognized:
// others would be told to return later.
BOOST_FIXTURE_TEST_CASE(ask_refusedWithoutWaitOrIdentity_reservesNothing, BookFixture)
{
    fillKnown(at(0s), 5s);
    for (std::uint64_t request = 1; request < 100; ++request) {
        PlaceRequest noWait = requestOf(request);
        noWait.identity = request;
        BOOST_TEST((ask(noWait, at(0s)).comeBack == 1s));
        BOOST_TEST((verdict(requestOf(200 + request, 10ms), at(0s)) == Verdict::Refused));
    }
    PlaceRequest known = requestOf(1000, 10ms);
    known.identity = 1000;
    const Decision first = ask(known, at(0s));
    // One place a second comes free, in-time requests take them, so that a quarter is counted on,
    // and half of that is promised: the first return is in the bucket after eight seconds.
    BOOST_TEST((first.comeBack >= 8s && first.comeBack < 8100ms));
}

// Guards against retry times that count on places which requests in time take, and against ones
// that stay long after these have become fewer.
BOOST_FIXTURE_TEST_CASE(ask_refusedLongAfterInTimeOnes_allThatComesFreeIsCountedOn, BookFixture)
{
    fillKnown(at(0s), 5s);
    PlaceRequest known = requestOf(1000, 10ms);
    known.identity = 1000;
    const Decision first = ask(known, at(15s));
    BOOST_TEST((first.verdict == Verdict::Refused));
    // One place a second comes free and half of them are promised, so the first return is within
    // about two seconds.
    BOOST_TEST((first.comeBack >= 2s && first.comeBack <= 2500ms));
}

// Guards against a lost end that takes a place for good.
BOOST_FIXTURE_TEST_CASE(expire_endWasLost_placeIsFreedWithItsLease, BookFixture)
{
    PlaceRequest leased = requestOf(1);
    leased.lease = 3s;
    BOOST_TEST((verdict(leased, at(0s)) == Verdict::Granted));
    BOOST_TEST((verdict(requestOf(2), at(0s)) == Verdict::Granted));
    book.expire(at(2999ms));
    BOOST_TEST(book.load(Server) == 2U);
    book.expire(at(3s));
    BOOST_TEST(book.load(Server) == 1U);
    book.expire(at(20s));
    BOOST_TEST(book.load(Server) == 0U);
}

// Guards against requests that wait on though a lease's end has freed a place.
BOOST_FIXTURE_TEST_CASE(expire_leaseEnds_nextInTheQueueIsGranted, BookFixture)
{
    fill(at(0s));
    BOOST_TEST((verdict(requestOf(1, 2s), at(19s)) == Verdict::Queued));
    BOOST_TEST(settle(at(19s)).empty());
    book.expire(at(20s));
    const auto decided = settle(at(20s));
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST((decided[0].verdict == Verdict::Granted));
    BOOST_TEST(book.load(Server) == 1U);
}

// Guards against a lease that ends early because the request waited: it begins with the grant.
BOOST_FIXTURE_TEST_CASE(expire_leaseShorterThanTheWait_beginsWithTheGrant, BookFixture)
{
    fill(at(0s));
    PlaceRequest leased = requestOf(1, 5s);
    leased.lease = 2s;
    BOOST_TEST((verdict(leased, at(0s)) == Verdict::Queued));
    end(101, at(3s));
    BOOST_TEST(settle(at(3s)).size() == 1U);
    book.expire(at(4999ms));
    BOOST_TEST(book.load(Server) == 5U);
    book.expire(at(5s));
    BOOST_TEST(book.load(Server) == 4U);
}

// Guards against a long request that is forgotten together with the unused queue of its server.
BOOST_FIXTURE_TEST_CASE(expire_leaseOutlivesTheUseOfItsServer_placeIsKept, BookFixture)
{
    PlaceRequest leased = requestOf(1);
    leased.lease = 300s;
    BOOST_TEST((verdict(leased, at(0s)) == Verdict::Granted));
    book.expire(at(200s));
    BOOST_TEST(book.load(Server) == 1U);
    end(1, at(250s));
    BOOST_TEST(book.load(Server) == 0U);
}

// Guards against state that is kept for servers that are no longer used: one that is asked for
// again is treated as new, which shows in that the loads that others see count.
BOOST_FIXTURE_TEST_CASE(expire_unusedServer_isForgotten, BookFixture)
{
    PlaceRequest seen = requestOf(1);
    BOOST_TEST((verdict(seen, at(0s)) == Verdict::Granted));
    end(1, at(1s));
    book.expire(at(60s));
    seen = requestOf(2);
    seen.seen = 5;
    BOOST_TEST((verdict(seen, at(60s)) == Verdict::Granted));
    end(2, at(61s));
    book.expire(at(121s));
    seen.request = 3;
    BOOST_TEST((verdict(seen, at(121s)) == Verdict::Refused));
}

// Guards against places and waits that a box leaves behind.
BOOST_FIXTURE_TEST_CASE(dropBox_itsPlacesAndWaitsEnd, BookFixture)
{
    fill(at(0s));
    PlaceRequest other = requestOf(1, 1s);
    other.box = 2;
    BOOST_TEST((verdict(requestOf(2, 500ms), at(0s)) == Verdict::Queued));
    BOOST_TEST((verdict(other, at(0s)) == Verdict::Queued));
    book.dropBox(1, at(100ms));
    BOOST_TEST(book.load(Server) == 0U);
    const auto decided = settle(at(100ms));
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST(decided[0].request == 1U);
    BOOST_TEST((decided[0].verdict == Verdict::Granted));
    BOOST_TEST(!book.anyWaiting());
}

// Guards against a repeated ask that takes a second place, waits twice, reserves a second return or
// is answered otherwise.
BOOST_FIXTURE_TEST_CASE(ask_repeated_getsTheSameDecisionAndIsCountedOnce, BookFixture)
{
    fillKnown(at(0s));
    BOOST_TEST((verdict(requestOf(101), at(1ms)) == Verdict::Granted));
    BOOST_TEST(book.load(Server) == 5U);
    const PlaceRequest waits = requestOf(1, 300ms);
    const Decision queued = ask(waits, at(1ms));
    BOOST_TEST((queued.verdict == Verdict::Queued));
    BOOST_TEST((ask(waits, at(1ms)) == queued));
    PlaceRequest refusable = requestOf(2, 10ms);
    refusable.identity = 9;
    const Decision refused = ask(refusable, at(1ms));
    BOOST_TEST((refused.verdict == Verdict::Refused));
    // Also when there is room meanwhile: the caller may have been told already.
    end(101, at(2ms));
    end(102, at(2ms));
    settle(at(2ms));
    BOOST_TEST((ask(refusable, at(3ms)) == refused));
    BOOST_TEST((verdict(waits, at(3ms)) == Verdict::Granted));
}

// Guards against a probe without a wait that keeps its request from being queued.
BOOST_FIXTURE_TEST_CASE(ask_refusedThenAllowedToWait_isDecidedAnew, BookFixture)
{
    fillKnown(at(0s));
    BOOST_TEST((verdict(requestOf(1), at(0s)) == Verdict::Refused));
    BOOST_TEST((verdict(requestOf(1, 300ms), at(1ms)) == Verdict::Queued));
    BOOST_TEST((verdict(requestOf(1, 300ms), at(1ms)) == Verdict::Queued));
}

// Guards against an ask that is delayed until after its end and would hold a place for its lease.
BOOST_FIXTURE_TEST_CASE(ask_arrivesAfterItsEnd_takesNoPlace, BookFixture)
{
    end(1, at(0s));
    BOOST_TEST((verdict(requestOf(1, 1s), at(100ms)) == Verdict::Refused));
    BOOST_TEST(book.load(Server) == 0U);
    book.hold(requestOf(1), at(100ms));
    BOOST_TEST(book.load(Server) == 0U);
    // A duplicate of the ask after the place was used and ended.
    BOOST_TEST((verdict(requestOf(2), at(1s)) == Verdict::Granted));
    end(2, at(2s));
    BOOST_TEST((verdict(requestOf(2), at(2s)) == Verdict::Refused));
    BOOST_TEST(book.load(Server) == 0U);
}

// Guards against memory of ended requests that grows without bound or lasts for ever.
BOOST_FIXTURE_TEST_CASE(end_manyUnknownRequests_memoryIsBoundedAndExpires, BookFixture)
{
    end(1, at(0s));
    BOOST_TEST((verdict(requestOf(1), at(2001ms)) == Verdict::Granted));
    end(2, at(3s));
    for (std::uint64_t request = 10; request < 10000; ++request) {
        end(request, at(3s));
    }
    BOOST_TEST((verdict(requestOf(2), at(3s)) == Verdict::Granted));
    BOOST_TEST((verdict(requestOf(9999), at(3s)) == Verdict::Refused));
}

// Guards against ends that count for the capacity although nothing ran: the wait would be wrong.
BOOST_FIXTURE_TEST_CASE(end_unusedOrUnknown_doesNotFeedTheCapacity, BookFixture)
{
    fillKnown(at(0s));
    book.end({.request = 101, .server = Server, .unused = true}, at(100s));
    book.end({.request = 102, .server = Server, .unused = true, .rejected = true}, at(100s));
    book.end({.request = 900, .server = Server, .rejected = true}, at(100s));
    book.end({.request = 901, .server = 12345}, at(100s));
    for (const std::uint64_t request : {1U, 2U}) {
        BOOST_TEST((verdict(requestOf(request), at(100s)) == Verdict::Granted));
    }
    const Decision queued = ask(requestOf(3, 100ms), at(100s));
    BOOST_TEST((queued.verdict == Verdict::Queued));
    BOOST_TEST((queued.expectedWait == 100ms));
    BOOST_TEST(queued.limit == 5U);
}

// Guards against a wait that goes on after its caller has left.
BOOST_FIXTURE_TEST_CASE(end_ofAWait_withdrawsIt, BookFixture)
{
    fill(at(0s));
    BOOST_TEST((verdict(requestOf(1, 1s), at(0s)) == Verdict::Queued));
    book.end({.request = 1, .server = Server, .unused = true}, at(10ms));
    BOOST_TEST(!book.anyWaiting());
    end(101, at(20ms));
    BOOST_TEST(settle(at(20ms)).empty());
    BOOST_TEST(book.load(Server) == 4U);
}

// Guards against rejections that are ignored, or a limit that stays low after them.
BOOST_FIXTURE_TEST_CASE(end_rejected_limitComesDownAndRisesAgain, BookFixture)
{
    fill(at(0s));
    for (std::uint64_t request = 101; request <= 105; ++request) {
        book.end({.request = request, .server = Server, .rejected = true},
                 at(100ms * (request - 100)));
    }
    BOOST_TEST(ask(requestOf(1), at(1s)).limit == 2U);
    end(1, at(1100ms));
    for (std::uint64_t request = 2; request <= 40; ++request) {
        const Instant now = at(1s + 200ms * request);
        BOOST_TEST((verdict(requestOf(request), now) == Verdict::Granted));
        end(request, now + 100ms);
    }
    BOOST_TEST(ask(requestOf(50), at(20s)).limit == 5U);
}

// Guards against a new owner that grants all places again while those granted by the old one run.
BOOST_FIXTURE_TEST_CASE(ask_newOwner_countsWhatOthersSeeForAWhile, BookFixture)
{
    PlaceRequest first = requestOf(1, 3s);
    first.seen = 5;
    BOOST_TEST((verdict(first, at(0s)) == Verdict::Queued));
    PlaceRequest second = requestOf(2);
    second.seen = 1;
    const Decision refused = ask(second, at(1s));
    BOOST_TEST((refused.verdict == Verdict::Refused));
    BOOST_TEST(refused.load == 5U);
    BOOST_TEST(settle(at(1999ms)).empty());
    const auto decided = settle(at(2s));
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST((decided[0].verdict == Verdict::Granted));
    second.request = 3;
    second.seen = 50;
    BOOST_TEST((verdict(second, at(2s)) == Verdict::Granted));
}

// Guards against places granted by other rules that aren't counted, or counted twice.
BOOST_FIXTURE_TEST_CASE(hold_placesOfEarlierBuilds_countAsLoad, BookFixture)
{
    PlaceRequest held = requestOf(0);
    held.slots = 0;
    for (std::uint64_t request = 1; request <= 5; ++request) {
        held.request = request;
        book.hold(held, at(0s));
        book.hold(held, at(0s));
    }
    BOOST_TEST(book.load(Server) == 5U);
    BOOST_TEST((verdict(requestOf(10), at(0s)) == Verdict::Refused));
    BOOST_TEST((verdict(requestOf(11, 1s), at(0s)) == Verdict::Queued));
    end(1, at(500ms));
    BOOST_TEST(settle(at(500ms)).size() == 1U);
    // Other rules may grant beyond the limit.
    for (std::uint64_t request = 20; request < 23; ++request) {
        held.request = request;
        book.hold(held, at(500ms));
    }
    BOOST_TEST(book.load(Server) == 8U);
    BOOST_TEST((ask(requestOf(30, 10s), at(500ms)).expectedWait == 400ms));
}

// Guards against a queue without bound, and against a full one that shuts out a more urgent
// request.
BOOST_AUTO_TEST_CASE(ask_fullQueue_lastOneGivesWay)
{
    PlaceBookPolicy policy;
    policy.queue.most = 3;
    PlaceBook book(policy);
    std::mt19937_64 random(5);
    for (std::uint64_t request = 101; request <= 105; ++request) {
        book.ask(requestOf(request), at(0s), random);
    }
    for (std::uint64_t request = 1; request <= 3; ++request) {
        PlaceRequest waits = requestOf(request, 1s);
        waits.priority = 1;
        BOOST_TEST((book.ask(waits, at(0s), random).verdict == Verdict::Queued));
    }
    PlaceRequest low = requestOf(4, 1s);
    low.priority = 2;
    BOOST_TEST((book.ask(low, at(0s), random).verdict == Verdict::Refused));
    const Decision urgent = book.ask(requestOf(5, 1s), at(0s), random);
    BOOST_TEST((urgent.verdict == Verdict::Queued));
    BOOST_TEST(urgent.waiting == 3U);
    const auto decided = book.settle(at(0s), random);
    BOOST_REQUIRE(decided.size() == 1U);
    BOOST_TEST(decided[0].request == 3U);
    BOOST_TEST((decided[0].verdict == Verdict::Refused));
}

// Guards against requests that are left without an answer by a planned stop.
BOOST_FIXTURE_TEST_CASE(refuseAll_tellsEachWaitingRequestToReturnSoon, BookFixture)
{
    fill(at(0s));
    BOOST_TEST((verdict(requestOf(1, 1s), at(0s)) == Verdict::Queued));
    BOOST_TEST((verdict(requestOf(2, 1s), at(0s)) == Verdict::Queued));
    const auto refused = book.refuseAll(at(10ms));
    BOOST_REQUIRE(refused.size() == 2U);
    for (const Decision &decision : refused) {
        BOOST_TEST((decision.verdict == Verdict::Refused));
        BOOST_TEST((decision.comeBack == 50ms));
    }
    BOOST_TEST(!book.anyWaiting());
    BOOST_TEST(settle(at(10ms)).empty());
    BOOST_TEST(book.load(Server) == 5U);
}

// Guards against servers that share their places or queues.
BOOST_FIXTURE_TEST_CASE(ask_twoServers_areCountedApart, BookFixture)
{
    fill(at(0s));
    PlaceRequest other = requestOf(1, 1s);
    other.server = 8;
    BOOST_TEST((verdict(other, at(0s)) == Verdict::Granted));
    BOOST_TEST((verdict(requestOf(1, 1s), at(0s)) == Verdict::Queued));
    book.end({1, 8}, at(1ms));
    BOOST_TEST(book.load(8) == 0U);
    BOOST_TEST(book.anyWaiting());
}

// Guards against a new owner that takes a server for idle, as it has granted nothing there yet.
BOOST_FIXTURE_TEST_CASE(believedLoad_ownerIsNew_isWhatOtherBoxesBelieve, BookFixture)
{
    PlaceRequest ask = requestOf(1, 1s);
    ask.seen = 9;
    BOOST_TEST(book.believedLoad(ask, at(0s)) == 9U);
    verdict(requestOf(2, 1s), at(0s));
    BOOST_TEST(book.believedLoad(ask, at(1999ms)) == 9U);
    // By then other boxes have heard of the owner, and it has counted what came since.
    BOOST_TEST(book.believedLoad(ask, at(2s)) == book.load(Server));
}

BOOST_AUTO_TEST_SUITE_END()
