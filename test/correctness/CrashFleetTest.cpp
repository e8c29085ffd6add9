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
    std::size_t sends = 0;
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
        std::size_t box = 0;
        std::size_t server = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t alone = 0;
        bool over = false;
    };

    static constexpr kernel::Instant Begin{1000s};

    static RequestIdentity identity(std::size_t number) { return {number, number, number}; }

    void after(kernel::Duration wait, std::function<void()> run)
    {
        events_.push({now_ + wait, ++lastEvent_, std::move(run)});
    }

    kernel::Duration upTo(kernel::Duration most)
    {
        return kernel::Duration(static_cast<std::int64_t>(random_() % most.count()));
    }

    std::size_t ownerOf(std::size_t number) const
    {
        return *membership::ownerOf(identity(number).high, names_);
    }

    // Callers ignore the time to wait that a refusal states. A frequent request is sent ten times
    // as often.
    void scheduleRepeat(std::size_t number)
    {
        after(upTo(crashesServers(number) ? 800ms : 80ms), [this, number] {
            ask(number, random_() % plan_.boxes);
            scheduleRepeat(number);
        });
    }

    void ask(std::size_t number, std::size_t box)
    {
        const SendRestriction restriction = boxes_[box].table.restriction(identity(number), now_);
        outcomes_[number].stops += restriction == SendRestriction::Stopped ? 1 : 0;
        if (restriction == SendRestriction::Free) {
            send({.number = number, .box = box});
        } else if (restriction == SendRestriction::Alone && arrives()) {
            after(1ms, [this, number, box] { grant(number, box); });
        }
    }

    void grant(std::size_t number, std::size_t box)
    {
        Box &owner = boxes_[ownerOf(number)];
        sendRecord(box, ownerOf(number), number);
        const std::uint64_t ask = ++lastAsk_;
        const bool granted =
                owner.table.restriction(identity(number), now_) == SendRestriction::Alone
                && owner.leases.tryAcquire(identity(number), ask, now_ + LongestAlone, now_) == 0s;
        if (granted && arrives()) {
            after(1ms,
                  [this, number, box, ask] { send({.number = number, .box = box, .alone = ask}); });
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
        begun.server = begun.alone != 0 ? leastLoaded() : random_() % plan_.servers;
        begun.incarnation = incarnations_[begun.server];
        if (begun.incarnation == 0) {
            // Nothing listens there: the request isn't sent, and the lease is released.
            boxes_[ownerOf(begun.number)].leases.releaseLease(identity(begun.number), begun.alone);
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
        const RequestIdentity request = identity(send.number);
        if (boxes_[send.box].table.forget(request, now_)) {
            sendRecordToOwner(send.box, send.number);
        }
        boxes_[ownerOf(send.number)].leases.releaseLease(request, send.alone);
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
        boxes_[send.box].table.noteCrash(identity(send.number), send.incarnation, send.alone != 0,
                                         now_);
        boxes_[ownerOf(send.number)].leases.releaseLease(identity(send.number), send.alone);
        sendRecordToOwner(send.box, send.number);
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

    void sendRecord(std::size_t from, std::size_t to, std::size_t number)
    {
        const CrashRecord record = boxes_[from].table.record(identity(number));
        if (boxes_[to].table.merge(record, now_) && to == ownerOf(number)) {
            broadcastRecord(number);
        }
    }

    void sendRecordToOwner(std::size_t box, std::size_t number)
    {
        const std::size_t owner = ownerOf(number);
        if (box == owner) {
            broadcastRecord(number);
        } else if (arrives()) {
            after(1ms, [this, box, owner, number] { sendRecord(box, owner, number); });
        }
    }

    void broadcastRecord(std::size_t number)
    {
        const std::size_t owner = ownerOf(number);
        if (!boxes_[owner].table.isShared(identity(number))) {
            return;
        }
        for (const kernel::Duration wait :
             {kernel::Duration(1ms), kernel::Duration(300ms), kernel::Duration(1200ms)}) {
            for (std::size_t box = 0; box < plan_.boxes; ++box) {
                if (box != owner && arrives()) {
                    after(wait, [this, owner, box, number] { sendRecord(owner, box, number); });
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
};

/** The results of many simulations. */
struct Totals
{
    std::size_t harmlessStopped = 0;  ///< Simulations in which a harmless request was stopped.
    std::uint64_t lastHarmedSeed = 0; ///< The seed of the last one of these.
    /** Crashing requests that were sent too often after their third crash. */
    std::size_t tooManyAfter = 0;
    std::size_t mostCrashes = 0; ///< Most crashes by one crashing request.
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
            }
        }
        sum.harmlessStopped += harmed ? 1 : 0;
        sum.lastHarmedSeed = harmed ? seed : sum.lastHarmedSeed;
    }
    return sum;
}

void check(const Plan &plan, std::uint64_t seeds)
{
    const Totals sum = playMany(plan, seeds);
    BOOST_TEST(sum.harmlessStopped == 0U);
    BOOST_TEST(sum.tooManyAfter == 0U);
    BOOST_TEST_MESSAGE("most crashes by one request: "
                       << sum.mostCrashes
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

BOOST_AUTO_TEST_SUITE_END()
