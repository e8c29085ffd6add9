#include "performance/PaceBench.h"

#include "forward/ServerTable.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>

namespace limereel::performance {

namespace {

using forward::AnswerPace;
using forward::ServerTable;
using kernel::Duration;
using kernel::Instant;

constexpr std::size_t Boxes = 83;
constexpr std::size_t Servers = 4; ///< Those with an odd number are slow for a while.
constexpr std::uint32_t Slots = 6;
constexpr std::array Work = {15ms, 60ms};
constexpr double Noise = 2.5; ///< Each server has it half of the time.
constexpr Duration NoiseKept = 600ms;
constexpr double Slowness = 6;
constexpr Duration SlowFrom = 10s;
constexpr Duration SlowTo = 20s;
constexpr Duration End = 35s;
constexpr Duration Objective = 120ms;
const Instant Start{1000s};

/** A way to choose a server. */
struct Way
{
    std::string name;
    bool compares = false;  ///< By ServerTable, which exempts a part of the requests.
    bool ownChoice = false; ///< Not by ServerTable, with the extra time always counted.
    bool lastValue = false; ///< Otherwise smoothed.
    std::size_t drawn = Servers;
    bool shared = false; ///< All boxes see all answers: a bound, at no cost in messages.
};

const std::array Ways = {Way{"base"},
                         Way{"smoothed", true},
                         Way{"smoothed, never exempt", false, true},
                         Way{"last value, never exempt", false, true, true},
                         Way{"smoothed, two choices", false, true, false, 2},
                         Way{"smoothed, seen by all boxes", false, true, false, Servers, true}};

forward::ListedServer listed(std::size_t index)
{
    forward::ListedServer server;
    server.id = std::to_string(index);
    server.service = "plain";
    server.hall = "hall";
    server.slots = Slots;
    return server;
}

struct Server
{
    std::uint32_t running = 0;
    std::deque<std::function<void()>> waiting;
    bool noisy = false;
};

struct Box
{
    explicit Box(const Way &way)
        : table({.hall = "hall", .comparePaces = way.compares})
    {
        for (std::size_t index = 0; index < Servers; ++index) {
            table.put(listed(index));
        }
    }

    ServerTable table;
    std::array<AnswerPace, Servers> paces; ///< For the ways that ServerTable doesn't have.
};

/** A request that was sent, and when it was answered. */
struct Sent
{
    Box *box = nullptr;
    std::size_t server = 0;
    Duration work{};
    Instant at;
    Duration taken{};
};

class PaceWorld
{
public:
    PaceWorld(const PaceCase &what, const Way &way)
        : way_(way)
        , random_(what.seed)
        , choiceRandom_(what.seed)
    {
        const double meanWork = kernel::seconds(Work[0] + Work[1]) / 2 * (1 + Noise) / 2;
        between_ = std::exponential_distribution<double>(what.load * Servers * Slots / meanWork);
        for (std::size_t box = 0; box < Boxes; ++box) {
            boxes_.emplace_back(way);
        }
    }

    PaceResult run()
    {
        arrive();
        tick();
        while (!events_.empty()) {
            const auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
        return result();
    }

private:
    void after(Duration wait, std::function<void()> what)
    {
        events_.emplace(now_ + wait, std::move(what));
    }

    void tick()
    {
        const bool change = (now_ - Start) % NoiseKept == 0s;
        for (Server &server : servers_) {
            server.noisy = change ? random_() % 2 == 0 : server.noisy;
        }
        for (Box &box : boxes_) {
            box.table.noteAwake(now_);
        }
        if (now_ < Start + End) {
            after(100ms, [this] { tick(); });
        }
    }

    void arrive()
    {
        if (now_ >= Start + End) {
            return;
        }
        Box &box = boxes_[random_() % Boxes];
        const Duration work = Work[random_() % Work.size()];
        const std::size_t server = choose(box);
        box.table.begin(listed(server).id, nullptr, now_);
        reach({&box, server, work, now_});
        const std::chrono::duration<double> next(between_(random_));
        after(std::chrono::round<Duration>(next), [this] { arrive(); });
    }

    std::size_t choose(Box &box)
    {
        if (!way_.ownChoice) {
            const auto choice = box.table.choose({.service = "plain"}, now_, choiceRandom_);
            return std::stoul(choice->server.id);
        }
        const auto &paces = pacesOf(box);
        std::vector<std::size_t> from;
        Duration best{};
        for (std::size_t index = 0; index < Servers; ++index) {
            const Duration mean = paces[index].mean(now_);
            best = best == 0s || (mean > 0s && mean < best) ? mean : best;
            if (!box.table.isSuspected(listed(index).id, now_)) {
                from.push_back(index);
            }
        }
        if (from.empty()) {
            return choiceRandom_() % Servers;
        }
        std::ranges::shuffle(from, choiceRandom_);
        from.resize(std::min(way_.drawn, from.size()));
        return *std::ranges::min_element(from, {}, [&](std::size_t index) {
            return box.table.load(listed(index).id, now_)
                   + forward::paceFactor(paces[index].current(now_), best);
        });
    }

    std::array<AnswerPace, Servers> &pacesOf(Box &box)
    {
        return way_.shared ? boxes_[0].paces : box.paces;
    }

    void reach(const Sent &sent)
    {
        Server &server = servers_[sent.server];
        auto begin = [this, sent, &server] {
            ++server.running;
            const Duration at = now_ - Start;
            const bool slow = isSlow(sent) && at >= SlowFrom && at < SlowTo;
            const double factor = (slow ? Slowness : 1) * (server.noisy ? Noise : 1);
            after(std::chrono::round<Duration>(sent.work * factor), [this, sent] { finish(sent); });
        };
        server.waiting.emplace_back(begin);
        startNext(server);
    }

    static void startNext(Server &server)
    {
        if (server.running < Slots && !server.waiting.empty()) {
            const auto next = std::move(server.waiting.front());
            server.waiting.pop_front();
            next();
        }
    }

    void finish(Sent sent)
    {
        Server &server = servers_[sent.server];
        --server.running;
        startNext(server);
        const std::string id = listed(sent.server).id;
        const auto waiting = static_cast<std::uint32_t>(server.waiting.size());
        ServerTable &table = sent.box->table;
        table.end(id);
        table.noteHeard(id, now_);
        table.noteLoad(id, {server.running, waiting, Slots}, now_);
        table.noteSuccess(id, now_);
        table.noteAnswerTime(id, now_ - sent.at, now_);
        AnswerPace &pace = pacesOf(*sent.box)[sent.server];
        pace = way_.lastValue ? AnswerPace() : pace;
        pace.note(now_ - sent.at, now_);
        sent.taken = now_ - sent.at;
        answered_.push_back(sent);
    }

    static bool isSlow(const Sent &sent) { return sent.server % 2 == 1; }

    std::vector<Sent> sentWithin(Duration from, Duration to) const
    {
        std::vector<Sent> found;
        std::ranges::copy_if(answered_, std::back_inserter(found), [&](const Sent &sent) {
            return sent.at >= Start + from && sent.at < Start + to;
        });
        return found;
    }

    static double part(const std::vector<Sent> &sent, const std::function<bool(const Sent &)> &is)
    {
        return 1.0 * std::ranges::count_if(sent, is) / sent.size();
    }

    PaceResult result() const
    {
        const auto within = [](const Sent &sent) { return sent.taken <= Objective; };
        std::vector<Sent> slow = sentWithin(SlowFrom, SlowTo);
        std::ranges::sort(slow, {}, &Sent::taken);
        Duration back = SlowTo;
        while (back < End - 1s && part(sentWithin(back, back + 1s), isSlow) < 0.4) {
            back += 100ms;
        }
        return {part(sentWithin(0s, SlowFrom), within), part(slow, within),
                kernel::seconds(slow[slow.size() * 99 / 100].taken) * 1000, part(slow, isSlow),
                kernel::seconds(back - SlowTo)};
    }

    Way way_;
    std::mt19937_64 random_;       ///< For what is the same for all ways.
    std::mt19937_64 choiceRandom_; ///< For the choices.
    std::exponential_distribution<double> between_;
    std::array<Server, Servers> servers_;
    std::deque<Box> boxes_;
    std::multimap<Instant, std::function<void()>> events_;
    Instant now_ = Start;
    std::vector<Sent> answered_;
};

} // namespace

std::vector<std::string> paceWays()
{
    std::vector<std::string> names;
    std::ranges::transform(Ways, std::back_inserter(names), &Way::name);
    return names;
}

PaceResult runPaces(const PaceCase &what)
{
    return PaceWorld(what, *std::ranges::find(Ways, what.way, &Way::name)).run();
}

} // namespace limereel::performance
