#include "performance/AdmissionLoad.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <queue>
#include <random>
#include <set>

namespace limereel::performance {

using kernel::Duration;
using kernel::Instant;

namespace {

constexpr std::size_t Organisations = 24;
constexpr std::uint32_t Priorities = 3;
constexpr double Surge = 7.5; ///< What the first organisation sends, as a multiple of another's.
constexpr std::size_t PlainServers = 4;
constexpr std::size_t BoxesOfEngine = 3;
constexpr Duration PlainWork = 60ms;
constexpr Duration EngineWork = 1500ms;
constexpr Duration FirstEvent = 100ms;
constexpr Instant Begin(1000s);
constexpr Duration ShareHalfLife = 1s; ///< Of the oracle; WaitQueuePolicy has 10 s.

Duration times(double factor, Duration duration)
{
    return std::chrono::round<Duration>(factor * duration);
}

/** Objective and deadline of a stream. */
struct Patience
{
    Duration objective;
    Duration deadline;
};

Arrival arrivalOf(bool engines, std::mt19937_64 &random)
{
    static const std::vector<Patience> Streams = {{300ms, 2500ms}, {1s, 6s}, {2s, 12s}};
    std::uniform_real_distribution<double> part(0, 1);
    Arrival arrival;
    arrival.box = random();
    arrival.identity = random() | 1U;
    const double organisation = part(random) * (Surge + Organisations - 1);
    arrival.organisation =
            organisation < Surge ? 0 : static_cast<std::size_t>(organisation - Surge) + 1;
    arrival.priority = static_cast<std::uint32_t>(random() % Priorities);
    arrival.work = times(0.5 + part(random), engines ? EngineWork : PlainWork);
    arrival.first = engines ? FirstEvent : arrival.work;
    const Patience patience =
            engines ? Streams[random() % Streams.size()] : Patience{300ms, 1500ms};
    arrival.objective = patience.objective;
    arrival.deadline = patience.deadline;
    return arrival;
}

/** Requests that wait at the oracle: for each priority and organisation by the time until which
 * they have to begin. */
class OracleQueue
{
public:
    void add(const Arrival &arrival)
    {
        const Instant until = arrival.at + arrival.objective - arrival.first;
        waiting_[arrival.priority][arrival.organisation].emplace(until, &arrival);
    }

    /** The next one that can still be answered in time; nothing if none waits. */
    const Arrival *take(Instant now)
    {
        const double decay =
                std::exp2(-kernel::seconds(now - at_) / kernel::seconds(ShareHalfLife));
        at_ = now;
        for (double &share : shares_) {
            share *= decay;
        }
        for (auto &organisations : waiting_) {
            std::size_t least = Organisations;
            for (std::size_t index = 0; index < Organisations; ++index) {
                auto &own = organisations[index];
                own.erase(own.begin(), own.lower_bound({now, nullptr}));
                if (!own.empty() && (least == Organisations || shares_[index] < shares_[least])) {
                    least = index;
                }
            }
            if (least < Organisations) {
                auto &own = organisations[least];
                const Arrival *arrival = own.begin()->second;
                own.erase(own.begin());
                shares_[least] += 1;
                return arrival;
            }
        }
        return nullptr;
    }

private:
    std::array<std::array<std::set<std::pair<Instant, const Arrival *>>, Organisations>, Priorities>
            waiting_;
    std::array<double, Organisations> shares_{};
    Instant at_;
};

// Max-min shares of the organisations in \a capacity requests.
std::vector<double> maxMin(const std::vector<double> &wanted, double capacity)
{
    std::vector<double> shares(wanted.size());
    std::vector<std::size_t> order(wanted.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::sort(order, {}, [&](std::size_t index) { return wanted[index]; });
    for (std::size_t done = 0; done < order.size(); ++done) {
        const double equal = capacity / static_cast<double>(order.size() - done);
        shares[order[done]] = std::min(wanted[order[done]], equal);
        capacity -= shares[order[done]];
    }
    return shares;
}

} // namespace

AdmissionLoad loadOf(const AdmissionCase &what)
{
    AdmissionLoad load;
    load.engines = what.engines;
    load.servers =
            what.engines ? std::max<std::size_t>(2, what.boxes / BoxesOfEngine) : PlainServers;
    load.slots = what.engines ? 24 : 6;
    load.queue = what.engines ? 72 : 24;
    load.seconds = what.engines ? 20 : 12;
    load.countedFrom = Begin + (what.engines ? 6s : 3s);
    std::mt19937_64 random(what.seed);
    const double bears = static_cast<double>(load.servers * load.slots)
                         / kernel::seconds(what.engines ? EngineWork : PlainWork);
    std::exponential_distribution<double> next(what.load * bears);
    double at = next(random);
    while (at < load.seconds) {
        Arrival arrival = arrivalOf(what.engines, random);
        arrival.at = Begin + std::chrono::round<Duration>(std::chrono::duration<double>(at));
        load.arrivals.push_back(arrival);
        at += next(random);
    }
    return load;
}

AdmissionScore::AdmissionScore(const AdmissionLoad &load)
    : countedFrom_(load.countedFrom)
    , wanted_(Priorities, std::vector<double>(Organisations))
    , inTimeOf_(Organisations)
{
    for (const Arrival &arrival : load.arrivals) {
        if (counts(arrival)) {
            wanted_[arrival.priority][arrival.organisation] += 1;
            requests_ += 1;
        }
    }
}

void AdmissionScore::noteAnswer(const Arrival &arrival, Instant sent, Instant at)
{
    if (!counts(arrival) || at > arrival.at + arrival.deadline) {
        return;
    }
    times_.push_back(at - arrival.at);
    if (at <= sent + arrival.objective) {
        inTime_ += 1;
        inTimeOf_[arrival.organisation] += 1;
    }
}

// What an organisation got of its share, which is filled by priority.
double AdmissionScore::leastServed() const
{
    std::vector<double> shares(Organisations);
    double capacity = inTime_;
    for (const std::vector<double> &wanted : wanted_) {
        const std::vector<double> granted = maxMin(wanted, capacity);
        for (std::size_t index = 0; index < Organisations; ++index) {
            shares[index] += granted[index];
            capacity -= granted[index];
        }
    }
    double least = inTime_ > 0 ? 1 : 0;
    for (std::size_t index = 0; index < Organisations; ++index) {
        least = std::min(least, shares[index] > 0 ? inTimeOf_[index] / shares[index] : 1);
    }
    return least;
}

AdmissionResult AdmissionScore::result() const
{
    AdmissionResult result;
    result.inTime = inTime_;
    result.answered = static_cast<double>(times_.size()) / std::max(1.0, requests_);
    result.leastServed = leastServed();
    std::vector<Duration> times = times_;
    if (!times.empty()) {
        const auto place = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
        std::nth_element(times.begin(), place, times.end());
        result.p99 = kernel::seconds(*place) * 1000;
    }
    return result;
}

double oracleInTime(const AdmissionCase &what)
{
    const AdmissionLoad load = loadOf(what);
    AdmissionScore score(load);
    OracleQueue queue;
    std::priority_queue<Instant, std::vector<Instant>, std::greater<>> free; // When a slot is.
    for (std::size_t slot = 0; slot < load.servers * load.slots; ++slot) {
        free.push(Begin);
    }
    bool waits = false;
    Instant last = Begin;
    for (std::size_t next = 0; waits || next < load.arrivals.size();) {
        const Instant now = std::max(free.top(), last);
        const bool beforeNext = next == load.arrivals.size() || now <= load.arrivals[next].at;
        if (!waits || !beforeNext) {
            last = load.arrivals[next].at;
            queue.add(load.arrivals[next++]);
            waits = true;
            continue;
        }
        const Arrival *arrival = queue.take(now);
        waits = arrival != nullptr;
        if (waits) {
            free.pop();
            free.push(now + arrival->work);
            score.noteAnswer(*arrival, arrival->at, now + arrival->first);
        }
    }
    return score.result().inTime;
}

} // namespace limereel::performance
