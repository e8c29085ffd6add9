// Whether servers get more than their share: the decisions of many boxes, as they ask the owners of
// servers for places over messages that take time, against a judge at the servers.

#include "forward/PlaceLedger.h"
#include "forward/PlaceSearch.h"
#include "forward/RecentCount.h"
#include "forward/ServerTable.h"
#include "kernel/decisions/Name.h"
#include "membership/Ownership.h"
#include "support/SendJudge.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

using namespace limereel;
using namespace limereel::forward;

namespace {

constexpr kernel::Duration AskTimeout = 25ms;
constexpr kernel::Duration WarmUp = 4s;
constexpr kernel::Duration Measured = 10s;
constexpr double MostOver = 0.03;
const std::string Service = "pool";

/** A kind of request for a prompt. */
struct Kind
{
    double perSecond = 0;
    std::size_t commonParts = 1;
    std::size_t subjects = 1;
    double meanSeconds = 0;
    double spread = 0; ///< Of the logarithm of the seconds.
};

/** What a fleet is, and what is wrong with it. */
struct Cell
{
    std::string name;
    std::size_t boxes = 295;
    std::size_t servers = 160;
    std::size_t halls = 5;
    bool prompts = true;
    double scale = 1;       ///< Times the usual load.
    double hotHall = 1;     ///< Times the usual load of the first hall.
    double moved = 0;       ///< Share of the callers of two halls that are at the third one.
    double hotSubject = 0;  ///< Share of the requests that are about one subject.
    double slowOwners = 0;  ///< Share of the boxes whose messages wait.
    double lostAnswers = 0; ///< Share of lost messages.
    double errors = 0;      ///< Share of the requests that fail at once and are repeated.
    std::uint64_t seed = 1;
};

std::ostream &operator<<(std::ostream &out, const Cell &cell)
{
    return out << cell.name;
}

constexpr kernel::Duration Hop = 1ms;
constexpr std::int64_t MostSlowMs = 80; ///< Longest that a message waits at a slow box.

/** Boxes, owners and servers that run the decisions of the product. */
class Fleet
{
public:
    explicit Fleet(const Cell &cell)
        : cell_(cell)
        , random_(cell.seed)
        , judge_(cell.servers)
    {
        for (std::size_t number = 0; number < cell.servers; ++number) {
            ListedServer server;
            server.id = "i-" + std::to_string(number);
            server.service = Service;
            server.hall = hallOf(number);
            server.slots = cell.prompts ? 64 : 6;
            server.engine = cell.prompts;
            numbers_[server.id] = number;
            servers_.push_back(server);
        }
        for (std::size_t number = 0; number < cell.boxes; ++number) {
            boxes_.push_back(std::make_unique<Box>(hallOf(number)));
            ids_.push_back(kernel::hashOf("box-" + std::to_string(number)));
            boxes_.back()->slow = chance(cell.slowOwners);
            for (const ListedServer &server : servers_) {
                boxes_.back()->table.put(server);
            }
            byId_[ids_.back()] = number;
        }
        std::ranges::sort(ids_);
        for (const ListedServer &server : servers_) {
            for (const std::uint64_t owner : membership::rankedOwners(server.hash(), ids_, 2)) {
                owners_.resize(numbers_.at(server.id) + 1);
                owners_.back().push_back(byId_.at(owner));
            }
        }
    }

    const support::SendJudge &play()
    {
        for (std::size_t hall = 0; hall < cell_.halls; ++hall) {
            for (const Kind &kind : kinds()) {
                batch(hall, kind);
            }
        }
        std::size_t steps = 0;
        while (!events_.empty() && events_.top().at < Start + WarmUp + Measured) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.work();
            if (++steps % 4096 == 0) {
                for (const auto &box : boxes_) {
                    box->ledger.expire(now_);
                }
            }
        }
        return judge_;
    }

    /** Sends by what they rested on, after the warm-up. */
    const std::map<OwnerSaid, std::size_t> &sends() const { return sends_; }

private:
    static constexpr kernel::Instant Start = kernel::Instant(1000s);

    struct Box
    {
        explicit Box(const std::string &hall)
            : table(policyOf(hall))
        {
        }

        static ServerPolicy policyOf(const std::string &hall)
        {
            ServerPolicy policy;
            policy.hall = hall;
            policy.comparePaces = true;
            return policy;
        }

        ServerTable table;
        PlaceLedger ledger{PlacePolicy{}};
        RecentCount asks{PlacePolicy{}.reportMaxAge};
        bool slow = false;
    };

    struct Event
    {
        kernel::Instant at;
        std::uint64_t order = 0;
        std::function<void()> work;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    /** A request on its way to a server. */
    struct Request
    {
        std::size_t box = 0;
        kernel::Duration runs{};
        bool fails = false;
        Prompt prompt;
        ServerRequirements requirements;
        PlaceSearch search;
    };
    using RequestPtr = std::shared_ptr<Request>;

    struct Ask
    {
        std::uint64_t id = 0;
        ListedServer server;
        std::size_t owner = 0;
        bool over = false; ///< The asker has heard of it, or waits no longer.
    };
    using AskPtr = std::shared_ptr<Ask>;

    std::vector<Kind> kinds() const
    {
        const double engines = static_cast<double>(cell_.servers) / 160 * cell_.scale;
        if (!cell_.prompts) {
            const double plain = static_cast<double>(cell_.servers) / 5 * cell_.scale;
            return {{287 * plain, 0, 0, 0.034, 0.5}};
        }
        const auto subjects = [&](double all) {
            return static_cast<std::size_t>(
                    std::ceil(all * static_cast<double>(cell_.servers) / 160));
        };
        return {{190 * engines, 3, subjects(287), 1.4, 0.44},
                {340 * engines, 32, subjects(513), 0.95, 0.69},
                {292 * engines, 80, subjects(991), 0.13, 0.8}};
    }

    std::string hallOf(std::size_t number) const
    {
        return "hall-" + std::to_string(number % cell_.halls);
    }

    bool chance(double share) { return std::bernoulli_distribution(share)(random_); }

    kernel::Duration seconds(double mean)
    {
        const double drawn = std::exponential_distribution<double>(1 / mean)(random_);
        return kernel::Duration(static_cast<std::int64_t>(drawn * 1e6));
    }

    void at(kernel::Instant when, std::function<void()> work)
    {
        events_.push({when, ++order_, std::move(work)});
    }

    void after(kernel::Duration wait, std::function<void()> work)
    {
        at(std::max(now_, Start) + wait, std::move(work));
    }

    // Messages to a slow box wait there until its event loop comes to them.
    void deliver(std::size_t box, std::function<void()> work)
    {
        if (chance(cell_.lostAnswers)) {
            return;
        }
        const auto waits = static_cast<std::int64_t>(random_() % MostSlowMs);
        after(Hop + (boxes_[box]->slow ? 1ms * waits : 0ms), std::move(work));
    }

    // Requests come in batches of one to five, three in the mean.
    void batch(std::size_t hall, const Kind &kind)
    {
        double rate = kind.perSecond / static_cast<double>(cell_.halls) / 3;
        rate *= hall == 0 ? cell_.hotHall + 2 * cell_.moved : 1;
        rate *= hall == 1 || hall == 2 ? 1 - cell_.moved : 1;
        after(seconds(1 / rate), [this, hall, kind] {
            const std::size_t requests = 1 + random_() % 5;
            for (std::size_t one = 0; one < requests; ++one) {
                arrive(hall, kind);
            }
            batch(hall, kind);
        });
    }

    void arrive(std::size_t hall, const Kind &kind)
    {
        auto request = std::make_shared<Request>();
        const std::size_t perHall = cell_.boxes / cell_.halls + (hall < cell_.boxes % cell_.halls);
        request->box = hall + cell_.halls * (random_() % std::max<std::size_t>(1, perHall));
        request->box %= cell_.boxes;
        const double middle = std::log(kind.meanSeconds) - kind.spread * kind.spread / 2;
        const double runs = std::lognormal_distribution<double>(middle, kind.spread)(random_);
        request->runs = kernel::Duration(static_cast<std::int64_t>(runs * 1e6));
        request->fails = chance(cell_.errors);
        request->requirements.service = Service;
        if (cell_.prompts) {
            const std::uint64_t name = kind.subjects * 1000;
            const std::size_t subject = chance(cell_.hotSubject) ? 0 : subjectOf(kind.subjects);
            request->prompt.parts = {
                    {kernel::hashOf(std::to_string(name + subject % kind.commonParts)), 500},
                    {kernel::hashOf("s" + std::to_string(name + subject)), 5000},
                    {random_(), 300}};
            request->requirements.prompt = &request->prompt;
        } else {
            request->requirements.anyHall =
                    boxes_[request->box]->table.drawAnyHall(Service, random_);
        }
        choose(request);
    }

    // Popular ones come more often, by a power of their rank.
    std::size_t subjectOf(std::size_t subjects)
    {
        const double drawn = std::uniform_real_distribution<double>(0, 1)(random_);
        const double rank = std::pow(drawn, 1 / 0.7) * static_cast<double>(subjects);
        return std::min(subjects - 1, static_cast<std::size_t>(rank));
    }

    void choose(const RequestPtr &request)
    {
        Box &box = *boxes_[request->box];
        const auto choice = box.table.choose(request->requirements, now_, random_);
        if (!choice) {
            return;
        }
        if (!cell_.prompts) {
            send(request, choice->server, OwnerSaid::NotAsked, nullptr);
            return;
        }
        askFor(request, choice->server, 0);
    }

    // An owner that doesn't answer has a deputy, which is asked next.
    void askFor(const RequestPtr &request, const ListedServer &server, std::size_t rank)
    {
        auto ask = std::make_shared<Ask>();
        ask->id = random_();
        ask->server = server;
        ask->owner = owners_[numbers_.at(server.id)].at(rank);
        Box &box = *boxes_[request->box];
        PlaceAsk asked;
        asked.request = ask->id;
        asked.engine = server.hash();
        asked.service = kernel::hashOf(Service);
        asked.box = request->box;
        asked.boxLoad = box.table.ownLoad(Service);
        asked.boxAsks = box.asks.add(now_);
        if (ask->owner == request->box) {
            answered(request, ask, box.ledger.ask(asked, fleetSize(), now_));
            return;
        }
        deliver(ask->owner, [this, request, ask, asked] {
            const PlaceAnswer answer = boxes_[ask->owner]->ledger.ask(asked, fleetSize(), now_);
            deliver(request->box, [this, request, ask, answer] { answered(request, ask, answer); });
        });
        after(AskTimeout, [this, request, ask, rank] {
            if (!ask->over) {
                ask->over = true;
                unanswered(request, ask, rank);
            }
        });
    }

    void unanswered(const RequestPtr &request, const AskPtr &ask, std::size_t rank)
    {
        const bool deputy = rank + 1 < owners_[numbers_.at(ask->server.id)].size();
        if (!deputy || request->requirements.spread) {
            decide(request, ask, OwnerSaid::Nothing);
            return;
        }
        giveBack(ask);
        askFor(request, ask->server, rank + 1);
    }

    FleetSize fleetSize() const { return {cell_.boxes, cell_.servers}; }

    void answered(const RequestPtr &request, const AskPtr &ask, const PlaceAnswer &answer)
    {
        if (ask->over) {
            return;
        }
        ask->over = true;
        Box &box = *boxes_[request->box];
        const double own = box.table.ownLoadAt(ask->server.id) + (answer.granted ? 1 : 0);
        box.table.setOthers(ask->server.id, std::max(0.0, answer.load - own), now_);
        decide(request, ask, answer.granted ? OwnerSaid::Granted : OwnerSaid::AboveBound);
    }

    void decide(const RequestPtr &request, const AskPtr &ask, OwnerSaid said)
    {
        if (request->search.mayUse(said, ask->server.id, request->requirements)) {
            send(request, ask->server, said, ask);
            return;
        }
        giveBack(ask);
        choose(request);
    }

    void giveBack(const AskPtr &ask)
    {
        if (ask) {
            deliver(ask->owner, [this, ask] {
                boxes_[ask->owner]->ledger.giveBack(ask->server.hash(), ask->id);
            });
        }
    }

    void send(const RequestPtr &request, const ListedServer &server, OwnerSaid said,
              const AskPtr &ask)
    {
        Box &box = *boxes_[request->box];
        const std::size_t number = numbers_.at(server.id);
        if (now_ >= Start + WarmUp) {
            judge_.arrive(number, now_);
            ++sends_[said];
        } else {
            judge_.begin(number);
        }
        box.table.begin(server.id, request->requirements.prompt, now_);
        const double slowness = number % 3 == 2 ? 1.3 : 1;
        const auto runs = kernel::Duration(
                static_cast<std::int64_t>(static_cast<double>(request->runs.count()) * slowness
                                          * (request->fails ? 0.3 : 1)));
        after(runs, [this, request, server, number, ask] {
            judge_.end(number);
            boxes_[request->box]->table.end(server.id);
            giveBack(ask);
            answer(request, server);
        });
    }

    // A failed request goes to another server once.
    void answer(const RequestPtr &request, const ListedServer &server)
    {
        Box &box = *boxes_[request->box];
        box.table.noteHeard(server.id, now_);
        if (!request->fails) {
            box.table.noteSuccess(server.id, now_);
            return;
        }
        box.table.noteFailure(server.id, Failure::Error, now_);
        auto repeat = std::make_shared<Request>(*request);
        repeat->fails = false;
        repeat->search = {};
        repeat->requirements.prompt = cell_.prompts ? &repeat->prompt : nullptr;
        repeat->requirements.full.clear();
        repeat->requirements.spread = false;
        repeat->requirements.tried.push_back(server.id);
        choose(repeat);
    }

    Cell cell_;
    std::mt19937_64 random_;
    support::SendJudge judge_;
    kernel::Instant now_ = Start;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<ListedServer> servers_;
    std::map<std::string, std::size_t> numbers_;
    std::vector<std::unique_ptr<Box>> boxes_;
    std::vector<std::uint64_t> ids_;
    std::map<std::uint64_t, std::size_t> byId_;
    std::vector<std::vector<std::size_t>> owners_; ///< Owner and deputy, by server.
    std::map<OwnerSaid, std::size_t> sends_;
};

void check(const Cell &cell)
{
    Fleet fleet(cell);
    const support::SendJudge &judge = fleet.play();
    std::string sends;
    for (const auto &[said, count] : fleet.sends()) {
        sends += " " + std::string(text(said)) + "=" + std::to_string(count);
    }
    BOOST_TEST_MESSAGE(cell.name << ": arrivals " << judge.arrivals() << ", over " << judge.share()
                                 << ", worst window " << judge.worst() << ", mean " << judge.mean()
                                 << ", sends" << sends);
    BOOST_TEST_CONTEXT(cell)
    {
        BOOST_TEST(judge.arrivals() > 100U);
        BOOST_TEST(judge.worst() <= MostOver);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(SendBoundTest)

BOOST_AUTO_TEST_CASE(prompts_ownersAnswer_noServerIsSentMoreThanItsShare)
{
    check({.name = "engines, even"});
    check({.name = "engines, one hall at 2.5", .hotHall = 2.5});
    check({.name = "engines, callers moved", .moved = 0.9});
    check({.name = "engines, one subject hot", .hotSubject = 0.28});
    check({.name = "engines, 85 boxes", .boxes = 85, .servers = 46});
    check({.name = "engines, 6 boxes", .boxes = 6, .servers = 9, .halls = 3});
    check({.name = "engines, errors", .errors = 0.14});
}

// Guards against an engine that all boxes prefer and that nobody's count bounds, as the answers of
// its owner come too late or not at all.
BOOST_AUTO_TEST_CASE(prompts_ownersAnswerLate_noServerIsSentMoreThanItsShare)
{
    check({.name = "engines, a third of the owners slow", .slowOwners = 0.33});
    check({.name = "engines, all owners slow", .slowOwners = 1});
    check({.name = "engines, slow and hot", .hotSubject = 0.28, .slowOwners = 1});
    check({.name = "engines, a fifth of the messages lost", .lostAnswers = 0.2});
    check({.name = "engines, 6 boxes, slow",
           .boxes = 6,
           .servers = 9,
           .halls = 3,
           .slowOwners = 1});
}

// Guards against plain servers whose load no box knows, so that each hall's requests go to its own
// server.
BOOST_AUTO_TEST_CASE(plainRequests_anyHall_noServerIsSentMoreThanItsShare)
{
    check({.name = "plain, even", .servers = 5, .prompts = false});
    check({.name = "plain, one hall at 2.5", .servers = 5, .prompts = false, .hotHall = 2.5});
    check({.name = "plain, callers moved", .servers = 5, .prompts = false, .moved = 0.9});
    check({.name = "plain, one hall at 10", .servers = 5, .prompts = false, .hotHall = 10});
    check({.name = "plain, three times the load", .servers = 5, .prompts = false, .scale = 3});
    check({.name = "plain, 85 boxes, 40 servers", .boxes = 85, .servers = 40, .prompts = false});
    check({.name = "plain, errors", .servers = 5, .prompts = false, .errors = 0.14});
    check({.name = "plain, 6 boxes", .boxes = 6, .servers = 3, .halls = 3, .prompts = false});
}

BOOST_AUTO_TEST_SUITE_END()
