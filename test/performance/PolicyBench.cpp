#include "performance/PolicyBench.h"

#include "membership/Rendezvous.h"
#include "routing/ChatIndex.h"
#include "routing/LoadBound.h"
#include "routing/LoadEstimate.h"
#include "routing/PermitLedger.h"
#include "routing/Placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>

namespace limereel::performance {

namespace {

constexpr std::size_t Engines = 50;
constexpr std::size_t Owners = 7;
constexpr double Seconds = 1500;
constexpr double WarmUp = 300;
constexpr double MeanService = 12.6;
constexpr double LossEvery = 400; ///< Seconds, of one engine.
constexpr double BackAfter = 20;
constexpr std::size_t CachedChats = 120; ///< On one engine.
constexpr double MeanPause = 60;
constexpr std::size_t Organisations = 10;

struct Chat
{
    std::uint64_t key;
    std::size_t organisation;
};

struct Engine
{
    std::uint64_t id = 0;
    std::uint64_t incarnation = 1;
    bool up = true;
    std::uint32_t load = 0;
    std::uint32_t reported = 0; ///< At the last second.
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;

    bool has(std::uint64_t chat) const { return cache.contains(chat); }

    void use(std::uint64_t chat)
    {
        if (const auto place = cache.find(chat); place != cache.end()) {
            order.erase(place->second);
        }
        order.push_front(chat);
        cache[chat] = order.begin();
        if (cache.size() > CachedChats) {
            cache.erase(order.back());
            order.pop_back();
        }
    }

    void lose()
    {
        up = false;
        ++incarnation;
        order.clear();
        cache.clear();
    }
};

class World
{
public:
    explicit World(PolicyCase what)
        : what_(std::move(what))
        , random_(what_.seed)
    {
        for (std::size_t index = 0; index < Engines; ++index) {
            engines_[index].id = kernel::hashOf("engine-" + std::to_string(index));
            ledgers_.emplace_back(Policy, kernel::Instant(), false);
        }
    }

    PolicyResult run()
    {
        const double rate = what_.meanLoad * static_cast<double>(Engines) / MeanService;
        at(chance(rate), [this, rate] { arrive(rate); });
        at(1, [this] { second(); });
        for (std::size_t index = 0; index < Engines; ++index) {
            at(chance(1 / LossEvery), [this, index] { lose(index); });
        }
        while (!events_.empty() && now_ < Seconds) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.time;
            event.work();
        }
        return result();
    }

private:
    struct Event
    {
        double time;
        std::uint64_t order;
        std::function<void()> work;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    static constexpr routing::PermitPolicy Policy{.lease = 3600s, .settle = 0s, .reservedShare = 0};

    void at(double after, std::function<void()> work)
    {
        events_.push({now_ + after, ++eventNumber_, std::move(work)});
    }
    double chance(double rate) { return std::exponential_distribution<double>(rate)(random_); }
    std::size_t any(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }
    kernel::Instant instant() const
    {
        return kernel::Instant(kernel::Duration(static_cast<std::int64_t>(now_ * 1e6)));
    }
    bool measuring() const { return now_ > WarmUp; }

    // Half of the arrivals begin a chat; each turn is followed by another after a pause with a
    // chance of a half.
    void arrive(double rate)
    {
        const bool surging = what_.surge > 1 && std::fmod(now_, 100) < 20;
        const Chat chat{kernel::hashOf("chat-" + std::to_string(++chats_)),
                        surging ? 0 : any(Organisations)};
        turn(chat, false);
        const double factor =
                surging ? 1 + (what_.surge - 1) / static_cast<double>(Organisations) : 1;
        at(chance(rate / 2 * factor), [this, rate] { arrive(rate); });
    }

    void turn(const Chat &chat, bool returning)
    {
        const bool anybodyHas = std::ranges::any_of(
                engines_, [&](const Engine &engine) { return engine.up && engine.has(chat.key); });
        const auto chosen = choose(chat);
        requests_ += measuring() ? 1 : 0;
        if (!chosen) {
            refused_ += measuring() ? 1 : 0;
            return;
        }
        Engine &engine = engines_[*chosen];
        if (measuring() && returning && anybodyHas) {
            ++couldReuse_;
            reused_ += engine.has(chat.key) ? 1 : 0;
        }
        engine.use(chat.key);
        ++engine.load;
        const std::uint64_t request = ++requestNumber_;
        const std::uint64_t incarnation = engine.incarnation;
        running_[request] = *chosen;
        const double length = chance(1 / MeanService);
        const std::size_t index = *chosen;
        at(length, [this, request, index, incarnation] {
            if (engines_[index].incarnation == incarnation) {
                --engines_[index].load;
                ledgers_[index].giveBack(request);
            }
        });
        if (any(2) == 0) {
            at(length + chance(1 / MeanPause), [this, chat] { turn(chat, true); });
        }
    }

    std::optional<std::size_t> choose(const Chat &chat)
    {
        std::vector<std::size_t> up;
        for (std::size_t index = 0; index < Engines; ++index) {
            if (engines_[index].up) {
                up.push_back(index);
            }
        }
        if (what_.policy == "random") {
            return up[any(up.size())];
        }
        if (what_.policy == "least-reported") {
            return *std::ranges::min_element(
                    up, {}, [&](std::size_t index) { return engines_[index].reported; });
        }
        if (what_.policy == "two-choices") {
            const std::size_t first = up[any(up.size())];
            const std::size_t second = up[any(up.size())];
            return engines_[first].reported <= engines_[second].reported ? first : second;
        }
        if (what_.policy == "modulo") {
            return up[chat.key % up.size()];
        }
        if (what_.policy == "rendezvous") {
            return index(routing::candidatesFor(chat.key, pool(0), 1).front().engine);
        }
        if (what_.policy == "bounded-rendezvous") {
            return bounded(chat);
        }
        return ours(chat);
    }

    std::vector<routing::Candidate> pool(std::size_t viewer) const
    {
        std::vector<routing::Candidate> candidates;
        for (std::size_t index = 0; index < Engines; ++index) {
            if (engines_[index].up) {
                const bool own = index % Owners == viewer;
                candidates.push_back({engines_[index].id, engines_[index].incarnation,
                                      own ? engines_[index].load : engines_[index].reported});
            }
        }
        return candidates;
    }

    std::size_t index(std::uint64_t id) const
    {
        return static_cast<std::size_t>(std::ranges::find(engines_, id, &Engine::id)
                                        - engines_.begin());
    }

    routing::PoolView viewOf(std::size_t owner) const
    {
        std::uint64_t ownNow = 0;
        std::uint64_t ownAtReport = 0;
        std::uint64_t ownEngines = 0;
        routing::OwnerReport others;
        for (std::size_t engine = 0; engine < Engines; ++engine) {
            if (!engines_[engine].up) {
                continue;
            }
            if (engine % Owners == owner) {
                ++ownEngines;
                ownNow += engines_[engine].load;
                ownAtReport += engines_[engine].reported;
            } else {
                ++others.engines;
                others.inFlight += engines_[engine].reported;
            }
        }
        others.ownAtReport = ownAtReport;
        routing::PoolView view;
        view.engines = ownEngines + others.engines;
        view.inFlight = routing::estimateInFlight(ownNow, ownEngines, std::span(&others, 1));
        view.bound = routing::loadBound(what_.loadFactor, view.inFlight, view.engines, what_.floor);
        return view;
    }

    bool granted(std::size_t engine)
    {
        asks_ += measuring() ? 1 : 0;
        const routing::PoolView view = viewOf(engine % Owners);
        const routing::Bounds bounds{view.bound, view.bound, 1000, 0};
        const bool grant = ledgers_[engine].ask({requestNumber_ + 1, 1, 0}, bounds, instant())
                           == routing::GrantResult::Granted;
        if (grant && measuring()) {
            noteGrant(engine);
        }
        return grant;
    }

    /** Whether the grant broke the bound that exact knowledge of all loads would have set at this
     * moment. */
    void noteGrant(std::size_t engine)
    {
        std::uint64_t total = 0;
        std::size_t up = 0;
        for (const Engine &each : engines_) {
            total += each.up ? each.load : 0;
            up += each.up ? 1 : 0;
        }
        ++grants_;
        overGrants_ += engines_[engine].load + 1 > routing::loadBound(what_.loadFactor, total, up,
                                                                      what_.floor)
                               ? 1
                               : 0;
    }

    /** The textbook: down the rendezvous order to the first engine within the bound. */
    std::optional<std::size_t> bounded(const Chat &chat)
    {
        for (const auto &candidate : routing::candidatesFor(chat.key, pool(0), Engines)) {
            if (granted(index(candidate.engine))) {
                return index(candidate.engine);
            }
        }
        return std::nullopt;
    }

    std::optional<std::size_t> ours(const Chat &chat)
    {
        const auto firstPool = pool(0);
        const std::size_t home =
                index(routing::candidatesFor(chat.key, firstPool, 1).front().engine);
        const std::size_t owner = home % Owners;
        const auto seen = pool(owner);
        const auto candidates = routing::candidatesFor(chat.key, seen, what_.candidates);
        auto &chatIndex = indexes_.try_emplace(owner, routing::ChatIndex(65536)).first->second;
        std::optional<routing::Holder> holder = chatIndex.find(chat.key);
        if (what_.policy == "no-index") {
            holder.reset();
        }
        routing::PoolView view = viewOf(owner);
        if (what_.policy == "cold-first") {
            view.inFlight = UINT32_MAX; // The first candidate is always quiet enough.
        }
        if (what_.policy == "cold-least") {
            view.inFlight = 0;
        }
        for (const routing::Choice &choice : routing::placeChat(candidates, holder, seen, view)) {
            const std::size_t engine = index(choice.engine);
            if (granted(engine)) {
                const routing::Holder placed{choice.engine, engines_[engine].incarnation};
                chatIndex.put(chat.key, placed);
                if (what_.policy != "no-handover") {
                    indexes_.try_emplace(naturalHome(chat.key) % Owners, routing::ChatIndex(65536))
                            .first->second.put(chat.key, placed);
                }
                return engine;
            }
        }
        return std::nullopt;
    }

    /** The first candidate were every engine up: its owner is the home again once it is. */
    std::size_t naturalHome(std::uint64_t chat) const
    {
        std::vector<routing::Candidate> all;
        for (const Engine &engine : engines_) {
            all.push_back({engine.id, engine.incarnation, 0});
        }
        return index(routing::candidatesFor(chat, all, 1).front().engine);
    }

    void second()
    {
        std::uint32_t greatest = 0;
        std::uint64_t total = 0;
        std::size_t up = 0;
        for (Engine &engine : engines_) {
            engine.reported = engine.load;
            greatest = std::max(greatest, engine.load);
            total += engine.load;
            up += engine.up ? 1 : 0;
        }
        if (measuring() && total > 0) {
            const double mean = static_cast<double>(total) / static_cast<double>(up);
            ratios_.push_back(greatest / mean);
            overBound_ +=
                    greatest > routing::loadBound(what_.loadFactor, total, up, what_.floor) ? 1 : 0;
        }
        at(1, [this] { second(); });
    }

    void lose(std::size_t engine)
    {
        engines_[engine].lose();
        engines_[engine].load = 0;
        ledgers_[engine] = routing::PermitLedger(Policy, kernel::Instant(), false);
        at(BackAfter, [this, engine] { engines_[engine].up = true; });
        at(BackAfter + chance(1 / LossEvery), [this, engine] { lose(engine); });
    }

    PolicyResult result()
    {
        std::ranges::sort(ratios_);
        PolicyResult result;
        result.reuse = couldReuse_ == 0 ? 0 : reused_ / couldReuse_;
        result.skew99 = ratios_[ratios_.size() * 99 / 100];
        result.worst = ratios_.back();
        result.overBound = overBound_ / static_cast<double>(ratios_.size());
        result.refused = refused_ / requests_;
        result.asks = asks_ / requests_;
        result.overGrants = grants_ == 0 ? 0 : overGrants_ / grants_;
        return result;
    }

    PolicyCase what_;
    std::mt19937_64 random_;
    double now_ = 0;
    std::uint64_t eventNumber_ = 0;
    std::uint64_t requestNumber_ = 0;
    std::uint64_t chats_ = 0;
    std::priority_queue<Event> events_;
    std::array<Engine, Engines> engines_;
    std::vector<routing::PermitLedger> ledgers_;
    std::map<std::size_t, routing::ChatIndex> indexes_;
    std::unordered_map<std::uint64_t, std::size_t> running_;
    std::vector<double> ratios_;
    double couldReuse_ = 0;
    double reused_ = 0;
    double requests_ = 0;
    double refused_ = 0;
    double asks_ = 0;
    double overBound_ = 0;
    double grants_ = 0;
    double overGrants_ = 0;
};

} // namespace

std::vector<std::string> policyNames()
{
    return {"random",     "least-reported",     "two-choices", "modulo",
            "rendezvous", "bounded-rendezvous", "no-index",    "cold-first",
            "cold-least", "limereel",           "handover"};
}

PolicyResult runPolicy(const PolicyCase &what)
{
    return World(what).run();
}

} // namespace limereel::performance
