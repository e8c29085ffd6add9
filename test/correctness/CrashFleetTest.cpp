// A simulated fleet without a network: boxes with crash records, owners that merge records and
// grant leases, messages that arrive late or not at all, and servers that crash by themselves and
// because of requests. The expected result: a request that crashes no server is never stopped, and
// one that crashes its servers is stopped in time.

#include "forward/CrashTable.h"
#include "forward/SingleSendLeases.h"
#include "membership/Ownership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <queue>
#include <random>

using namespace limereel;
using namespace limereel::forward;

namespace {

/** The settings of one simulation. */
struct Plan
{
    using Features = std::vector<CrashFeature>;

    /** The features of one more request of kind \a number; \a order counts all requests. */
    std::function<Features(std::size_t number, std::uint64_t order)> featuresOf =
            [](std::size_t number, std::uint64_t) {
                return Features{{RequestIdentity{number, number, number}}};
            };
    kernel::Duration crashingEvery = 800ms; ///< Longest pause between two crashing requests.
    kernel::Duration popularEvery = 80ms;   ///< The same of a kind that crashes no server.

    std::size_t boxes = 6;
    std::size_t servers = 9;
    std::size_t crashing = 2;      ///< Requests that crash every server that runs them.
    std::size_t popular = 4;       ///< Frequent requests that crash no server.
    double lost = 0;               ///< Share of messages between boxes that are lost.
    std::vector<int> crashWavesAt; ///< Seconds at which servers crash by themselves.
    double crashWaveShare = 0.25;  ///< Share of the servers that crash then.
    kernel::Duration lasts = 20s;
};

/** The result for one request. */
struct Outcome
{
    std::size_t asks = 0;
    std::size_t sends = 0;
    std::size_t answers = 0;
    std::size_t crashes = 0;    ///< Crashes of servers that ran it.
    std::size_t sendsAfter = 0; ///< Sends later than Contact after the third crash.
    std::size_t stops = 0;      ///< Refusals because it is stopped.
    std::optional<kernel::Instant> third;
};

constexpr kernel::Duration Contact = 3s;
constexpr kernel::Duration LongestAlone = 5s;

class Fleet
{
public:
    Fleet(Plan plan, std::uint64_t seed)
        : plan_(std::move(plan))
        , random_(seed)
        , boxes_(plan_.boxes)
        , outcomes_(plan_.crashing + plan_.popular)
    {
        for (std::uint64_t box = 0; box < plan_.boxes; ++box) {
            names_.push_back(box);
        }
        for (std::size_t server = 0; server < plan_.servers; ++server) {
            incarnations_.push_back(++lastIncarnation_);
        }
        for (std::size_t number = 0; number < outcomes_.size(); ++number) {
            scheduleRepeat(number);
        }
        for (const int second : plan_.crashWavesAt) {
            after(1s * second, [this] { crashWave(); });
        }
    }

    void play()
    {
        while (!events_.empty() && events_.top().at < Begin + plan_.lasts) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.run();
        }
    }

    bool crashesServers(std::size_t number) const { return number < plan_.crashing; }
    const std::vector<Outcome> &outcomes() const { return outcomes_; }

private:
    struct Box
    {
        CrashTable table;
        SingleSendLeases leases;
    };

    struct Event
    {
        kernel::Instant at;
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    struct Send
    {
        std::size_t number = 0;
        Plan::Features features;
        std::size_t box = 0;
        std::size_t server = 0;
        std::uint64_t incarnation = 0;
        /** The leases to send it alone, by feature; 0: none. */
        std::vector<std::uint64_t> leases;
        bool over = false;

        bool alone() const
        {
            return std::ranges::any_of(leases, [](std::uint64_t lease) { return lease != 0; });
        }
    };

    static constexpr kernel::Instant Begin{1000s};

    void after(kernel::Duration wait, std::function<void()> run)
    {
        events_.push({now_ + wait, ++lastEvent_, std::move(run)});
    }

    kernel::Duration upTo(kernel::Duration most)
    {
        return kernel::Duration(static_cast<std::int64_t>(random_() % most.count()));
    }

    std::size_t ownerOf(const CrashFeature &feature) const
    {
        return *membership::ownerOf(feature.identity.high, names_);
    }

    // Callers ignore the time to wait that a refusal states. A frequent request is sent ten times
    // as often.
    void scheduleRepeat(std::size_t number)
    {
        after(upTo(crashesServers(number) ? plan_.crashingEvery : plan_.popularEvery),
              [this, number] {
                  const std::size_t box = random_() % plan_.boxes;
                  ask({.number = number,
                       .features = plan_.featuresOf(number, ++lastRequest_),
                       .box = box});
                  scheduleRepeat(number);
              });
    }

    void ask(Send request)
    {
        const SendVerdict verdict = boxes_[request.box].table.verdict(request.features, now_);
        Outcome &outcome = outcomes_[request.number];
        ++outcome.asks;
        outcome.stops += verdict.restriction == SendRestriction::Stopped ? 1 : 0;
        if (verdict.restriction == SendRestriction::Free) {
            send(std::move(request));
        } else if (verdict.waits == 0s && verdict.restriction == SendRestriction::Alone
                   && arrives()) {
            after(1ms, [this, request = std::move(request)] { grant(request); });
        }
    }

    void grant(Send request)
    {
        const CrashTable &table = boxes_[request.box].table;
        bool granted = true;
        bool failedBefore = false;
        for (const CrashFeature &feature : request.features) {
            const bool needed = table.needsLease(feature.identity);
            request.leases.push_back(needed && granted ? lease(request.box, feature) : 0);
            granted = granted && (!needed || request.leases.back() != 0);
            failedBefore = failedBefore || table.hasFailedTrials(feature.identity);
        }
        if (granted && failedBefore) {
            request.features.push_back({anyFailedTrial()});
            request.leases.push_back(lease(request.box, request.features.back()));
            granted = request.leases.back() != 0;
        }
        // More may have become known.
        const SendVerdict verdict = boxes_[request.box].table.verdict(request.features, now_);
        granted = granted && verdict.restriction != SendRestriction::Stopped;
        if (granted && arrives()) {
            after(1ms, [this, request = std::move(request)] { send(request); });
        } else if (!granted) {
            releaseLeases(request);
        }
    }

    // A lease of the feature's owner; 0: it has granted one to another request.
    std::uint64_t lease(std::size_t box, const CrashFeature &feature)
    {
        Box &owner = boxes_[ownerOf(feature)];
        sendRecord(box, ownerOf(feature), feature);
        const std::uint64_t ask = ++lastAsk_;
        const bool granted =
                (feature.identity == anyFailedTrial()
                 || owner.table.restriction(feature.identity, now_) == SendRestriction::Alone)
                && owner.leases.tryAcquire(feature.identity, ask, now_ + LongestAlone, now_) == 0s;
        return granted ? ask : 0;
    }

    void releaseLeases(const Send &send)
    {
        for (std::size_t index = 0; index < send.leases.size(); ++index) {
            const CrashFeature &feature = send.features[index];
            boxes_[ownerOf(feature)].leases.releaseLease(feature.identity, send.leases[index]);
        }
    }

    // The server with the fewest requests, as far as the boxes know; ties are broken at random.
    std::size_t leastLoaded()
    {
        std::vector<std::size_t> running(plan_.servers);
        for (const Send &send : sends_) {
            running[send.server] += send.over ? 0 : 1;
        }
        const std::size_t first = random_() % plan_.servers;
        std::size_t best = first;
        for (std::size_t step = 1; step < plan_.servers; ++step) {
            const std::size_t server = (first + step) % plan_.servers;
            const bool better = incarnations_[best] == 0 || running[server] < running[best];
            best = incarnations_[server] != 0 && better ? server : best;
        }
        return best;
    }

    void send(Send begun)
    {
        begun.server = begun.alone() ? leastLoaded() : random_() % plan_.servers;
        begun.incarnation = incarnations_[begun.server];
        if (begun.incarnation == 0) {
            // Nothing listens there: the request isn't sent, and the lease is released.
            releaseLeases(begun);
            return;
        }
        Outcome &outcome = outcomes_[begun.number];
        ++outcome.sends;
        outcome.sendsAfter += outcome.third && now_ > *outcome.third + Contact ? 1 : 0;
        const std::size_t index = sends_.size();
        sends_.push_back(begun);
        if (crashesServers(begun.number)) {
            after(30ms + upTo(100ms),
                  [this, index] { crashServer(sends_[index].server, sends_[index].incarnation); });
        } else {
            after(10ms + upTo(100ms), [this, index] { answer(index); });
        }
    }

    void answer(std::size_t index)
    {
        Send &send = sends_[index];
        if (send.over) {
            return;
        }
        send.over = true;
        ++outcomes_[send.number].answers;
        for (const CrashFeature &feature : send.features) {
            if (boxes_[send.box].table.forget(feature.identity, now_)) {
                sendRecordToOwner(send.box, feature);
            }
        }
        releaseLeases(send);
    }

    void crashServer(std::size_t server, std::uint64_t incarnation)
    {
        if (incarnations_[server] != incarnation) {
            return;
        }
        incarnations_[server] = 0;
        after(1s + upTo(3s), [this, server] { incarnations_[server] = ++lastIncarnation_; });
        for (std::size_t index = 0; index < sends_.size(); ++index) {
            if (!sends_[index].over && sends_[index].incarnation == incarnation) {
                sends_[index].over = true;
                after(2ms, [this, index] { noteCrash(sends_[index]); });
            }
        }
    }

    void noteCrash(const Send &send)
    {
        Outcome &outcome = outcomes_[send.number];
        if (++outcome.crashes == 3) {
            outcome.third = now_;
        }
        for (std::size_t index = 0; index < send.features.size(); ++index) {
            if (send.features[index].identity == anyFailedTrial()) {
                continue;
            }
            const bool alone = index < send.leases.size() && send.leases[index] != 0;
            boxes_[send.box].table.noteCrash(send.features[index].identity, send.incarnation, alone,
                                             now_);
        }
        releaseLeases(send);
        for (const CrashFeature &feature : send.features) {
            sendRecordToOwner(send.box, feature);
        }
    }

    void crashWave()
    {
        for (std::size_t server = 0; server < plan_.servers; ++server) {
            if (std::uniform_real_distribution<>(0, 1)(random_) < plan_.crashWaveShare) {
                crashServer(server, incarnations_[server]);
            }
        }
    }

    bool arrives() { return std::uniform_real_distribution<>(0, 1)(random_) >= plan_.lost; }

    void sendRecord(std::size_t from, std::size_t to, const CrashFeature &feature)
    {
        const CrashRecord record = boxes_[from].table.record(feature.identity);
        if (boxes_[to].table.merge(record, now_) && to == ownerOf(feature)) {
            broadcastRecord(feature);
        }
    }

    void sendRecordToOwner(std::size_t box, const CrashFeature &feature)
    {
        const std::size_t owner = ownerOf(feature);
        if (box == owner) {
            broadcastRecord(feature);
        } else if (arrives()) {
            after(1ms, [this, box, owner, feature] { sendRecord(box, owner, feature); });
        }
    }

    void broadcastRecord(const CrashFeature &feature)
    {
        const std::size_t owner = ownerOf(feature);
        if (!boxes_[owner].table.isShared(feature.identity)) {
            return;
        }
        for (const kernel::Duration wait :
             {kernel::Duration(1ms), kernel::Duration(300ms), kernel::Duration(1200ms)}) {
            for (std::size_t box = 0; box < plan_.boxes; ++box) {
                if (box != owner && arrives()) {
                    after(wait, [this, owner, box, feature] { sendRecord(owner, box, feature); });
                }
            }
        }
    }

    Plan plan_;
    std::mt19937_64 random_;
    std::vector<Box> boxes_;
    std::vector<std::uint64_t> names_;
    /** Current incarnation, by server; 0: it has crashed. */
    std::vector<std::uint64_t> incarnations_;
    std::vector<Send> sends_;
    std::vector<Outcome> outcomes_;
    std::priority_queue<Event> events_;
    kernel::Instant now_ = Begin;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t lastEvent_ = 0;
    std::uint64_t lastAsk_ = 0;
    std::uint64_t lastRequest_ = 0;
};

/** The results of many simulations. */
struct Totals
{
    std::size_t harmlessStopped = 0;  ///< Simulations in which a harmless request was stopped.
    std::uint64_t lastHarmedSeed = 0; ///< The seed of the last one of these.
    /** Crashing requests that were sent too often after their third crash. */
    std::size_t tooManyAfter = 0;
    std::size_t mostCrashes = 0; ///< Most crashes by one crashing request.
    double harmlessAsked = 0;
    double harmlessRefused = 0;  ///< As stopped.
    double harmlessAnswered = 0; ///< At the first try.
};

Totals playMany(const Plan &plan, std::uint64_t seeds)
{
    Totals sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(plan, seed);
        fleet.play();
        bool harmed = false;
        for (std::size_t number = 0; number < fleet.outcomes().size(); ++number) {
            const Outcome &outcome = fleet.outcomes()[number];
            if (fleet.crashesServers(number)) {
                sum.tooManyAfter += outcome.sendsAfter > 3 ? 1 : 0;
                sum.mostCrashes = std::max(sum.mostCrashes, outcome.crashes);
            } else {
                harmed = harmed || outcome.stops > 0;
                sum.harmlessRefused += static_cast<double>(outcome.stops);
                sum.harmlessAsked += static_cast<double>(outcome.asks);
                sum.harmlessAnswered += static_cast<double>(outcome.answers);
            }
        }
        sum.harmlessStopped += harmed ? 1 : 0;
        sum.lastHarmedSeed = harmed ? seed : sum.lastHarmedSeed;
    }
    return sum;
}

// A part of prompts that is \a number; \a organisation 0: of all.
CrashFeature partFeature(std::uint64_t number, std::uint64_t organisation, std::size_t place)
{
    constexpr std::uint64_t FirstPart = 1'000'000;
    const std::uint64_t name = FirstPart * (organisation + 1) + number;
    return {{name, name, name}, place};
}

// No two requests are alike. All share a part, each crashing kind has one of its own, and the
// others have one of forty.
Plan::Features requestWithParts(std::size_t number, std::uint64_t order, std::size_t crashing)
{
    constexpr std::uint64_t Shared = 1;
    constexpr std::uint64_t FirstCrashing = 100;
    constexpr std::uint64_t FirstRare = 1000;
    constexpr std::uint64_t Rare = 40;
    constexpr std::uint64_t Organisations = 3;
    const std::uint64_t organisation = 1 + number % Organisations;
    const std::uint64_t own = number < crashing ? FirstCrashing + number : FirstRare + order % Rare;
    Plan::Features features = {{RequestIdentity{order, order, order}}};
    std::size_t place = 0;
    for (const std::uint64_t part : {Shared, own}) {
        ++place;
        features.push_back(partFeature(part, 0, place));
        features.push_back(partFeature(part, organisation, place));
    }
    return features;
}

Plan planWithParts(std::size_t crashing)
{
    Plan plan{.crashing = crashing};
    plan.featuresOf = [crashing](std::size_t number, std::uint64_t order) {
        return requestWithParts(number, order, crashing);
    };
    plan.crashingEvery = 200ms;
    return plan;
}

void check(const Plan &plan, std::uint64_t seeds)
{
    const Totals sum = playMany(plan, seeds);
    BOOST_TEST(sum.harmlessStopped == 0U);
    BOOST_TEST(sum.tooManyAfter == 0U);
    BOOST_TEST_MESSAGE("most crashes by one request: "
                       << sum.mostCrashes << ", share of harmless ones answered: "
                       << sum.harmlessAnswered / static_cast<double>(sum.harmlessAsked)
                       << ", refused as stopped: " << sum.harmlessRefused / sum.harmlessAsked
                       << ", histories with one stopped: " << sum.harmlessStopped
                       << ", last seed with a harmless request stopped: " << sum.lastHarmedSeed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashFleetTest)

BOOST_AUTO_TEST_CASE(fleet_crashingRequestsBesideHarmlessOnes_onlyTheCrashingAreStopped)
{
    check({}, 200);
}

BOOST_AUTO_TEST_CASE(fleet_aQuarterOfTheServersCrashesTwiceInTenSeconds_harmlessAreNotStopped)
{
    check({.crashing = 0, .crashWavesAt = {4, 9}}, 500);
}

BOOST_AUTO_TEST_CASE(fleet_allServersCrash_harmlessAreNotStopped)
{
    check({.crashing = 0, .crashWavesAt = {4, 9}, .crashWaveShare = 1}, 500);
}

BOOST_AUTO_TEST_CASE(fleet_stormsBesideGuiltyRequests_eachIsStoppedInItsBound)
{
    check({.crashing = 3, .lost = 0.03, .crashWavesAt = {4, 9}}, 1000);
}

BOOST_AUTO_TEST_CASE(fleet_thirtyBoxes_eachIsStoppedInItsBound)
{
    check({.boxes = 30,
           .servers = 90,
           .crashing = 6,
           .popular = 10,
           .lost = 0.03,
           .crashWavesAt = {4, 9}},
          20);
}

BOOST_AUTO_TEST_CASE(parts_oneCrashesServers_onlyRequestsWithItAreStopped)
{
    check(planWithParts(1), 300);
}

BOOST_AUTO_TEST_CASE(parts_threeCrashServersAndMessagesAreLost_onlyRequestsWithThemAreStopped)
{
    Plan plan = planWithParts(3);
    plan.lost = 0.03;
    check(plan, 300);
}

BOOST_AUTO_TEST_CASE(parts_stormsBesideACrashingOne_onlyRequestsWithItAreStopped)
{
    Plan plan = planWithParts(1);
    plan.lost = 0.03;
    plan.crashWavesAt = {4, 9};
    check(plan, 300);
}

BOOST_AUTO_TEST_CASE(parts_allServersCrashAndNoPartIsToBlame_nothingIsStopped)
{
    Plan plan = planWithParts(0);
    plan.crashWavesAt = {4, 9};
    plan.crashWaveShare = 1;
    check(plan, 100);
}

BOOST_AUTO_TEST_CASE(parts_eightyThreeBoxes_onlyRequestsWithThemAreStopped)
{
    Plan plan = planWithParts(2);
    plan.boxes = 83;
    plan.servers = 60;
    plan.lost = 0.03;
    check(plan, 10);
}

BOOST_AUTO_TEST_SUITE_END()
