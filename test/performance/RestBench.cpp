#include "performance/RestBench.h"

#include "forward/ServerTable.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace limereel::performance {

namespace {

using forward::Failure;
using forward::ListedServer;
using forward::ServerPolicy;
using forward::ServerTable;
using kernel::Duration;
using kernel::Instant;

constexpr std::uint32_t Slots = 16;
constexpr std::uint32_t Queue = 8;
constexpr double MeanWork = 0.1; ///< Seconds.
constexpr double Calm = 0.7;     ///< Part of what all servers bear.
constexpr double Surge = 1.6;
constexpr double SurgeFrom = 2; ///< Seconds.
constexpr double SurgeTo = 5;
constexpr double End = 15;
constexpr int Sends = 3; ///< Of one request.
constexpr Duration Hop = 1ms;
constexpr Duration HerdWindow = 50ms;

struct Way
{
    std::string name;
    bool heeds = true;
    Duration limitedToSlots{}; ///< See ServerPolicy.
    Duration told{};           ///< Retry-After; zero: callers don't come back.
    bool tellsRest = false;    ///< Where all rest, Retry-After is the end of the first rest.
    Duration toldSpread{};     ///< Added to that by chance, up to this.
};

const std::vector<Way> &ways()
{
    static const std::vector<Way> Ways = {
            {"unheeded", false},
            {"heeded"},
            {"held to places", true, 60s},
            {"heeded, back in 0.25 s", true, {}, 250ms},
            {"heeded, back after rest", true, {}, 250ms, true},
            {"heeded, back after rest and 0-1 s", true, {}, 250ms, true, 1s},
            {"held to places, back in 0.25 s", true, 60s, 250ms},
            {"held to places, back after rest", true, 60s, 250ms, true}};
    return Ways;
}

Duration durationOf(double seconds)
{
    return std::chrono::round<Duration>(std::chrono::duration<double>(seconds));
}

/** One server: slots and a short queue. */
struct Server
{
    std::uint32_t held = 0; ///< Running and waiting.
    std::deque<std::function<void()>> waiting;
    std::uint32_t running = 0;
    std::deque<Instant> arrivals;
    std::size_t herd = 0;
};

/** Boxes, servers and the requests between them. */
class RestWorld
{
public:
    RestWorld(const RestCase &what, const Way &way)
        : rest_(what.rest)
        , way_(way)
        , random_(what.seed)
        , servers_(std::max<std::size_t>(5, what.boxes / 3))
    {
        ServerPolicy policy;
        policy.hall = "hall";
        policy.limitedToSlots = way.limitedToSlots;
        for (std::size_t box = 0; box < what.boxes; ++box) {
            boxes_.push_back(std::make_unique<ServerTable>(policy));
            for (std::size_t index = 0; index < servers_.size(); ++index) {
                boxes_.back()->put(listed(index));
            }
        }
    }

    RestResult run()
    {
        arrive();
        tick();
        while (!events_.empty()) {
            Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.what();
        }
        RestResult result;
        result.served = static_cast<double>(served_) / oracle();
        result.turnedAway = part(turnedAway_);
        result.intoRest = part(intoRest_);
        result.refusedTwice = part(refusedTwice_);
        for (const Server &server : servers_) {
            result.herd = std::max(result.herd, static_cast<double>(server.herd) / Slots);
        }
        return result;
    }

private:
    struct Event
    {
        Instant at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    struct Request
    {
        std::size_t box = 0;
        forward::ServerRequirements wish;
        int sends = 0;
        bool cameBack = false;
    };

    ListedServer listed(std::size_t index) const
    {
        ListedServer server;
        server.id = "s" + std::to_string(index);
        server.service = "pool";
        server.hall = "hall";
        server.slots = Slots;
        return server;
    }

    double bears() const { return static_cast<double>(servers_.size()) * Slots / MeanWork; }

    double part(std::size_t count) const
    {
        return static_cast<double>(count) / static_cast<double>(requests_);
    }

    // All arrivals while calm, and during the surge what the servers bear.
    double oracle() const
    {
        const double lost = (Surge - 1) * bears() * (SurgeTo - SurgeFrom);
        return static_cast<double>(requests_) - lost;
    }

    void after(Duration wait, std::function<void()> what)
    {
        events_.push({now_ + wait, ++order_, std::move(what)});
    }

    double seconds() const { return kernel::seconds(now_ - Instant()) - 1000; }

    void tick()
    {
        for (const auto &box : boxes_) {
            box->noteAwake(now_);
        }
        if (seconds() < End) {
            after(100ms, [this] { tick(); });
        }
    }

    void arrive()
    {
        const bool surge = seconds() >= SurgeFrom && seconds() < SurgeTo;
        std::exponential_distribution<double> next(bears() * (surge ? Surge : Calm));
        if (seconds() >= End) {
            return;
        }
        ++requests_;
        auto request = std::make_shared<Request>();
        request->box = random_() % boxes_.size();
        request->wish.service = "pool";
        send(request);
        after(durationOf(next(random_)), [this] { arrive(); });
    }

    void send(const std::shared_ptr<Request> &request)
    {
        ServerTable &book = *boxes_[request->box];
        const auto choice = book.choose(request->wish, now_, random_);
        if (!choice) {
            comeBack(request);
            return;
        }
        ++request->sends;
        intoRest_ += book.backoffLeft(choice->server.id, now_) > 0s ? 1 : 0;
        book.begin(choice->server.id, nullptr, now_);
        after(Hop, [this, request, server = choice->server] { reach(request, server); });
    }

    void comeBack(const std::shared_ptr<Request> &request)
    {
        if (way_.told == Duration(0) || request->cameBack) {
            refusedTwice_ += request->cameBack ? 1 : 0;
            return;
        }
        const Duration told = toldBy(*boxes_[request->box], request->wish);
        request->cameBack = true;
        request->wish.tried.clear();
        request->sends = 0;
        request->box = random_() % boxes_.size();
        after(told, [this, request] { send(request); });
    }

    Duration toldBy(const ServerTable &book, const forward::ServerRequirements &wish)
    {
        if (!way_.tellsRest || !book.allBackingOff(wish, now_)) {
            return way_.told;
        }
        Duration first = Duration::max();
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            first = std::min(first, book.backoffLeft(listed(index).id, now_));
        }
        std::uniform_real_distribution<double> part(0, kernel::seconds(way_.toldSpread));
        return first + durationOf(part(random_));
    }

    void reach(const std::shared_ptr<Request> &request, const ListedServer &listedServer)
    {
        Server &server = servers_[std::stoul(listedServer.id.substr(1))];
        countHerd(server);
        if (server.held >= Slots + Queue) {
            ++turnedAway_;
            after(Hop, [this, request, listedServer] { takeRefusal(request, listedServer); });
            return;
        }
        ++server.held;
        auto work = [this, request, listedServer, &server] {
            ++server.running;
            std::exponential_distribution<double> length(1 / MeanWork);
            after(durationOf(length(random_)), [this, request, listedServer, &server] {
                finish(request, listedServer, server);
            });
        };
        if (server.running < Slots) {
            work();
        } else {
            server.waiting.push_back(work);
        }
    }

    void countHerd(Server &server)
    {
        server.arrivals.push_back(now_);
        while (now_ - server.arrivals.front() > HerdWindow) {
            server.arrivals.pop_front();
        }
        if (seconds() > SurgeTo) {
            server.herd = std::max(server.herd, server.arrivals.size());
        }
    }

    void finish(const std::shared_ptr<Request> &request, const ListedServer &listedServer,
                Server &server)
    {
        --server.running;
        --server.held;
        ++served_;
        if (!server.waiting.empty()) {
            auto work = std::move(server.waiting.front());
            server.waiting.pop_front();
            work();
        }
        const forward::ReportedLoad load{server.running, server.held - server.running, Slots, 100};
        after(Hop, [this, request, listedServer, load] {
            ServerTable &book = *boxes_[request->box];
            book.end(listedServer.id);
            book.noteHeard(listedServer.id, now_);
            book.noteLoad(listedServer.id, load, now_);
            book.noteSuccess(listedServer.id, now_);
        });
    }

    void takeRefusal(const std::shared_ptr<Request> &request, const ListedServer &server)
    {
        ServerTable &book = *boxes_[request->box];
        book.end(server.id);
        book.noteHeard(server.id, now_);
        book.noteLoad(server.id, {Slots, Queue, Slots, 100}, now_);
        book.noteFailure(server.id, Failure::Full, now_);
        if (way_.heeds) {
            book.noteBackoff(server, rest_, now_);
        }
        request->wish.tried.push_back(server.id);
        if (request->sends < Sends) {
            send(request);
        } else {
            comeBack(request);
        }
    }

    Duration rest_;
    Way way_;
    std::mt19937_64 random_;
    std::vector<Server> servers_;
    std::vector<std::unique_ptr<ServerTable>> boxes_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    Instant now_{1000s};
    std::size_t requests_ = 0;
    std::size_t served_ = 0;
    std::size_t turnedAway_ = 0;
    std::size_t intoRest_ = 0;
    std::size_t refusedTwice_ = 0;
};

} // namespace

std::vector<std::string> restWays()
{
    std::vector<std::string> names;
    for (const Way &way : ways()) {
        names.push_back(way.name);
    }
    return names;
}

RestResult runRests(const RestCase &what)
{
    const auto way = std::ranges::find(ways(), what.way, &Way::name);
    return RestWorld(what, *way).run();
}

} // namespace limereel::performance
