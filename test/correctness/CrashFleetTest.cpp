// A fleet without a network: boxes with a book each, owners that sum and grant, words that come
// late or not at all, servers that end by themselves and under requests. Held against the plain
// rule: a harmless request is never stopped, one that ends its servers is stopped in time.

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

/** The settings of one history. */
struct Plan
{
    std::size_t boxes = 6;
    std::size_t servers = 9;
    std::size_t guilty = 2;    ///< Requests that end each server.
    std::size_t popular = 4;   ///< Harmless requests that come again and again.
    double lost = 0;           ///< Share of words between boxes that don't arrive.
    std::vector<int> stormsAt; ///< Seconds at which servers end by themselves,
    double stormShare = 0.25;  ///< so many of them.
    kernel::Duration lasts = 20s;
};

/** What came of one request. */
struct Outcome
{
    std::size_t sends = 0;
    std::size_t ends = 0;       ///< Of servers under it.
    std::size_t sendsAfter = 0; ///< Later than Contact after the third of these.
    std::size_t stops = 0;      ///< Refusals as stopped.
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
        , outcomes_(plan_.guilty + plan_.popular)
    {
        for (std::uint64_t box = 0; box < plan_.boxes; ++box) {
            names_.push_back(box);
        }
        for (std::size_t server = 0; server < plan_.servers; ++server) {
            lives_.push_back(++lastLife_);
        }
        for (std::size_t number = 0; number < outcomes_.size(); ++number) {
            comeAgain(number);
        }
        for (const int second : plan_.stormsAt) {
            after(1s * second, [this] { storm(); });
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

    bool isGuilty(std::size_t number) const { return number < plan_.guilty; }
    const std::vector<Outcome> &outcomes() const { return outcomes_; }

private:
    struct Box
    {
        CrashTable book;
        SingleSendLeases ledger;
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
        std::uint64_t life = 0;
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

    // Callers don't wait as they are told. A popular request comes ten times as often.
    void comeAgain(std::size_t number)
    {
        after(upTo(isGuilty(number) ? 800ms : 80ms), [this, number] {
            ask(number, random_() % plan_.boxes);
            comeAgain(number);
        });
    }

    void ask(std::size_t number, std::size_t box)
    {
        const SendRestriction restriction = boxes_[box].book.restriction(identity(number), now_);
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
        tell(box, ownerOf(number), number);
        const std::uint64_t ask = ++lastAsk_;
        const bool granted =
                owner.book.restriction(identity(number), now_) == SendRestriction::Alone
                && owner.ledger.tryAcquire(identity(number), ask, now_ + LongestAlone, now_) == 0s;
        if (granted && arrives()) {
            after(1ms,
                  [this, number, box, ask] { send({.number = number, .box = box, .alone = ask}); });
        }
    }

    // As the boxes know it: the fewest requests, ties by chance.
    std::size_t idlest()
    {
        std::vector<std::size_t> running(plan_.servers);
        for (const Send &send : sends_) {
            running[send.server] += send.over ? 0 : 1;
        }
        const std::size_t first = random_() % plan_.servers;
        std::size_t best = first;
        for (std::size_t step = 1; step < plan_.servers; ++step) {
            const std::size_t server = (first + step) % plan_.servers;
            const bool better = lives_[best] == 0 || running[server] < running[best];
            best = lives_[server] != 0 && better ? server : best;
        }
        return best;
    }

    void send(Send begun)
    {
        begun.server = begun.alone != 0 ? idlest() : random_() % plan_.servers;
        begun.life = lives_[begun.server];
        if (begun.life == 0) {
            // Nothing listens there: not sent, and the leave goes back.
            boxes_[ownerOf(begun.number)].ledger.releaseLease(identity(begun.number), begun.alone);
            return;
        }
        Outcome &outcome = outcomes_[begun.number];
        ++outcome.sends;
        outcome.sendsAfter += outcome.third && now_ > *outcome.third + Contact ? 1 : 0;
        const std::size_t index = sends_.size();
        sends_.push_back(begun);
        if (isGuilty(begun.number)) {
            after(30ms + upTo(100ms),
                  [this, index] { endServer(sends_[index].server, sends_[index].life); });
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
        if (boxes_[send.box].book.forget(request, now_)) {
            tellOwner(send.box, send.number);
        }
        boxes_[ownerOf(send.number)].ledger.releaseLease(request, send.alone);
    }

    void endServer(std::size_t server, std::uint64_t life)
    {
        if (lives_[server] != life) {
            return;
        }
        lives_[server] = 0;
        after(1s + upTo(3s), [this, server] { lives_[server] = ++lastLife_; });
        for (std::size_t index = 0; index < sends_.size(); ++index) {
            if (!sends_[index].over && sends_[index].life == life) {
                sends_[index].over = true;
                after(2ms, [this, index] { noteCrash(sends_[index]); });
            }
        }
    }

    void noteCrash(const Send &send)
    {
        Outcome &outcome = outcomes_[send.number];
        if (++outcome.ends == 3) {
            outcome.third = now_;
        }
        boxes_[send.box].book.noteCrash(identity(send.number), send.life, send.alone != 0, now_);
        boxes_[ownerOf(send.number)].ledger.releaseLease(identity(send.number), send.alone);
        tellOwner(send.box, send.number);
    }

    void storm()
    {
        for (std::size_t server = 0; server < plan_.servers; ++server) {
            if (std::uniform_real_distribution<>(0, 1)(random_) < plan_.stormShare) {
                endServer(server, lives_[server]);
            }
        }
    }

    bool arrives() { return std::uniform_real_distribution<>(0, 1)(random_) >= plan_.lost; }

    void tell(std::size_t from, std::size_t to, std::size_t number)
    {
        const CrashRecord record = boxes_[from].book.record(identity(number));
        if (boxes_[to].book.merge(record, now_) && to == ownerOf(number)) {
            tellAll(number);
        }
    }

    void tellOwner(std::size_t box, std::size_t number)
    {
        const std::size_t owner = ownerOf(number);
        if (box == owner) {
            tellAll(number);
        } else if (arrives()) {
            after(1ms, [this, box, owner, number] { tell(box, owner, number); });
        }
    }

    void tellAll(std::size_t number)
    {
        const std::size_t owner = ownerOf(number);
        if (!boxes_[owner].book.isShared(identity(number))) {
            return;
        }
        for (const kernel::Duration wait :
             {kernel::Duration(1ms), kernel::Duration(300ms), kernel::Duration(1200ms)}) {
            for (std::size_t box = 0; box < plan_.boxes; ++box) {
                if (box != owner && arrives()) {
                    after(wait, [this, owner, box, number] { tell(owner, box, number); });
                }
            }
        }
    }

    Plan plan_;
    std::mt19937_64 random_;
    std::vector<Box> boxes_;
    std::vector<std::uint64_t> names_;
    std::vector<std::uint64_t> lives_; ///< By server; 0: it has ended.
    std::vector<Send> sends_;
    std::vector<Outcome> outcomes_;
    std::priority_queue<Event> events_;
    kernel::Instant now_ = Begin;
    std::uint64_t lastLife_ = 0;
    std::uint64_t lastEvent_ = 0;
    std::uint64_t lastAsk_ = 0;
};

/** Of many histories. */
struct Sum
{
    std::size_t harmlessStopped = 0; ///< Histories.
    std::uint64_t lastHarmed = 0;    ///< The seed of the last one of these.
    std::size_t tooManyAfter = 0;    ///< Guilty requests beyond the rule.
    std::size_t mostEnds = 0;        ///< Under one guilty request.
};

Sum playMany(const Plan &plan, std::uint64_t seeds)
{
    Sum sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Fleet fleet(plan, seed);
        fleet.play();
        bool harmed = false;
        for (std::size_t number = 0; number < fleet.outcomes().size(); ++number) {
            const Outcome &outcome = fleet.outcomes()[number];
            if (fleet.isGuilty(number)) {
                sum.tooManyAfter += outcome.sendsAfter > 3 ? 1 : 0;
                sum.mostEnds = std::max(sum.mostEnds, outcome.ends);
            } else {
                harmed = harmed || outcome.stops > 0;
            }
        }
        sum.harmlessStopped += harmed ? 1 : 0;
        sum.lastHarmed = harmed ? seed : sum.lastHarmed;
    }
    return sum;
}

void check(const Plan &plan, std::uint64_t seeds)
{
    const Sum sum = playMany(plan, seeds);
    BOOST_TEST(sum.harmlessStopped == 0U);
    BOOST_TEST(sum.tooManyAfter == 0U);
    BOOST_TEST_MESSAGE("most ends under one request: "
                       << sum.mostEnds << ", last seed that harmed: " << sum.lastHarmed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashFleetTest)

BOOST_AUTO_TEST_CASE(fleet_guiltyRequestsBesideHarmlessOnes_onlyTheGuiltyAreStopped)
{
    check({}, 200);
}

BOOST_AUTO_TEST_CASE(fleet_aQuarterOfTheServersEndsTwiceInTenSeconds_harmlessAreNotStopped)
{
    check({.guilty = 0, .stormsAt = {4, 9}}, 500);
}

BOOST_AUTO_TEST_CASE(fleet_allServersEnd_harmlessAreNotStopped)
{
    check({.guilty = 0, .stormsAt = {4, 9}, .stormShare = 1}, 500);
}

BOOST_AUTO_TEST_CASE(fleet_stormsBesideGuiltyRequests_eachIsStoppedInItsBound)
{
    check({.guilty = 3, .lost = 0.03, .stormsAt = {4, 9}}, 1000);
}

BOOST_AUTO_TEST_CASE(fleet_thirtyBoxes_eachIsStoppedInItsBound)
{
    check({.boxes = 30,
           .servers = 90,
           .guilty = 6,
           .popular = 10,
           .lost = 0.03,
           .stormsAt = {4, 9}},
          20);
}

BOOST_AUTO_TEST_SUITE_END()
