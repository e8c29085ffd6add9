#include "performance/AdmissionBench.h"

#include "performance/AdmissionBoxes.h"
#include "performance/AdmissionOwners.h"

#include <algorithm>
#include <unordered_map>

namespace limereel::performance {

namespace {

using admission::Decision;
using admission::Verdict;
using kernel::Duration;
using kernel::Instant;

constexpr Duration AskTimeout = 25ms;
constexpr Duration ShortFor = 5s;
constexpr Duration LeaseSlack = 500ms;
constexpr Duration ShortestReturn = 50ms;
constexpr Duration LongestReturn = 500ms; ///< Of refusals that no owner has given a time for.
constexpr int MostSends = 3;

struct Way
{
    std::string name;
    bool book = true;
    LimitKind limit = LimitKind::Aimd;
    bool patient = false; ///< A queued request waits until it is of no more use, not as expected.
};

const std::vector<Way> &ways()
{
    static const std::vector<Way> Ways = {
            {"no admission", false},
            {"book, AIMD"},
            {"book, AIMD, patient", true, LimitKind::Aimd, true},
            {"book, AIMD from slots + 1, patient", true, LimitKind::AimdOneAhead, true},
            {"book, fixed", true, LimitKind::Fixed},
            {"book, fixed, patient", true, LimitKind::Fixed, true},
            {"book, gradient", true, LimitKind::Gradient},
            {"book, delay", true, LimitKind::Delay}};
    return Ways;
}

/** Boxes, servers and the requests between them. */
class AdmissionWorld
{
public:
    AdmissionWorld(const AdmissionCase &what, const Way &way)
        : load_(loadOf(what))
        , way_(way)
        , net_(what.boxes, what.seed + 1)
        , owners_(net_, load_, what.boxes, way.limit,
                  [this](const Decision &decision) { take(decision); })
        , servers_(load_.servers, ServerQueue(load_))
        , boxes_(what.boxes)
        , score_(load_)
    {
        for (BoxView &box : boxes_) {
            box.own.resize(servers_.size());
            box.told.resize(servers_.size());
        }
    }

    AdmissionResult run()
    {
        for (const Arrival &arrival : load_.arrivals) {
            net_.runUntil(arrival.at);
            begin(arrival, false);
        }
        net_.run();
        AdmissionResult result = score_.result();
        result.rejected = part(rejected_, sends_);
        result.withdrawn = part(withdrawn_, queued_);
        result.refusedTwice = part(refusedTwice_, refused_);
        result.messages = net_.mostMessages() / load_.seconds;
        result.bytes = net_.mostBytes() / load_.seconds;
        return result;
    }

private:
    bool isShort(std::size_t box) const { return net_.now() < boxes_[box].shortUntil; }
    void noteShort(std::size_t box) { boxes_[box].shortUntil = net_.now() + ShortFor; }

    void begin(const Arrival &arrival, bool second)
    {
        auto call = std::make_shared<Call>();
        call->arrival = &arrival;
        call->second = second;
        call->box = second ? net_.random()() % boxes_.size() : arrival.box % boxes_.size();
        call->sent = net_.now();
        for (std::size_t server = 0; server < servers_.size(); ++server) {
            call->order.push_back(server);
        }
        // A returning caller meets the same owners.
        std::mt19937_64 preference(arrival.identity);
        std::ranges::shuffle(call->order, preference);
        place(call);
    }

    void place(const CallPtr &call)
    {
        const bool needsPlace = way_.book && (load_.engines || isShort(call->box));
        if (needsPlace) {
            call->next = 0;
            call->bestWait = Duration::max();
            askNext(call, isShort(call->box));
        } else if (call->order.empty()) {
            refuse(call);
        } else {
            const auto least = std::ranges::min_element(call->order, {}, [&](std::size_t server) {
                return boxes_[call->box].seen(server);
            });
            send(call, *least, 0);
        }
    }

    // Short: two owners that may queue it. Else three that may not, then the one with the least
    // wait that may.
    void askNext(const CallPtr &call, bool wasShort)
    {
        const std::size_t most = std::min<std::size_t>(wasShort ? 2 : 3, call->order.size());
        if (call->next < most) {
            ask(call, call->order[call->next++], wasShort);
        } else if (!wasShort && call->bestWait != Duration::max()) {
            call->bestWait = Duration::max();
            call->next = call->order.size();
            ask(call, call->best, true);
        } else {
            refuse(call);
        }
    }

    void ask(const CallPtr &call, std::size_t server, bool mayWait)
    {
        const std::uint64_t id = ++asks_;
        pending_[id] = {call, server, mayWait, false};
        const Arrival &arrival = *call->arrival;
        admission::PlaceRequest request;
        request.request = id;
        request.box = call->box;
        request.organisation = arrival.organisation + 1;
        request.identity = arrival.identity;
        request.priority = arrival.priority;
        request.seen = boxes_[call->box].own[server];
        if (mayWait) {
            const Duration start = arrival.first + 4 * Hop;
            request.wait = std::max(Duration(0), call->inTimeUntil() - net_.now() - start);
            request.late =
                    std::max(Duration(0), call->deadline() - net_.now() - start - request.wait);
        }
        request.lease = call->deadline() - net_.now() + LeaseSlack;
        owners_.ask(server, request);
        net_.after(AskTimeout, [this, id] { noteUnanswered(id); });
    }

    void withdraw(std::uint64_t id, std::size_t box, std::size_t server)
    {
        owners_.end(box, server, {id, server, true, false}, Duration(0));
    }

    void take(const Decision &decision)
    {
        const auto found = pending_.find(decision.request);
        if (found == pending_.end()) {
            if (decision.verdict == Verdict::Granted) {
                withdraw(decision.request, decision.box, decision.server);
            }
            return;
        }
        Ask &ask = found->second;
        if (decision.verdict == Verdict::Queued) {
            ask.answered = true;
            ++queued_;
            const Duration useful = ask.call->deadline() - net_.now();
            const Duration expected = decision.expectedWait + AskTimeout;
            net_.after(way_.patient ? useful : std::min(expected, useful),
                       [this, id = decision.request] { noteOverdue(id); });
            return;
        }
        const Ask ended = ask;
        pending_.erase(found);
        if (decision.verdict == Verdict::Granted) {
            send(ended.call, ended.server, decision.request);
            return;
        }
        noteFull(ended, decision.expectedWait, decision.comeBack);
    }

    void noteFull(const Ask &ask, Duration expectedWait, Duration comeBack)
    {
        const bool wasShort = ask.mayWait;
        noteShort(ask.call->box);
        ask.call->comeBack = comeBack;
        if (expectedWait < ask.call->bestWait && !ask.mayWait) {
            ask.call->bestWait = expectedWait;
            ask.call->best = ask.server;
        }
        askNext(ask.call, wasShort);
    }

    void noteUnanswered(std::uint64_t id)
    {
        const auto found = pending_.find(id);
        if (found == pending_.end() || found->second.answered) {
            return;
        }
        const Ask ask = found->second;
        pending_.erase(found);
        withdraw(id, ask.call->box, ask.server);
        if (!isShort(ask.call->box) || boxes_[ask.call->box].seen(ask.server) < load_.slots) {
            send(ask.call, ask.server, 0);
        } else {
            noteFull(ask, Duration::max(), ShortestReturn);
        }
    }

    void noteOverdue(std::uint64_t id)
    {
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            return;
        }
        const Ask ask = found->second;
        pending_.erase(found);
        ++withdrawn_;
        withdraw(id, ask.call->box, ask.server);
        noteFull(ask, Duration::max(), std::max(ask.call->comeBack, ShortestReturn));
    }

    void refuse(const CallPtr &call)
    {
        const Duration told =
                call->comeBack > Duration(0)
                        ? call->comeBack
                        : std::clamp(call->arrival->objective / 4, ShortestReturn, LongestReturn);
        (call->second ? refusedTwice_ : refused_) += score_.counts(*call->arrival) ? 1 : 0;
        if (!call->second && told <= (call->deadline() - net_.now()) / 3) {
            net_.after(told + 2 * Hop, [this, arrival = call->arrival] { begin(*arrival, true); });
        }
    }

    void send(const CallPtr &call, std::size_t server, std::uint64_t lease)
    {
        ++call->sends;
        ++sends_;
        ++boxes_[call->box].own[server];
        const Instant sent = net_.now();
        net_.after(Hop, [this, call, server, lease, sent] { reach(call, server, lease, sent); });
    }

    void reach(const CallPtr &call, std::size_t index, std::uint64_t lease, Instant sent)
    {
        const bool taken = servers_[index].offer([=, this] {
            const bool left = net_.now() >= call->deadline(); // Its caller, while it waited.
            if (!left) {
                const Instant at = net_.now() + call->arrival->first + Hop;
                score_.noteAnswer(*call->arrival, call->sent, at);
            }
            net_.after(left ? Duration(0) : call->arrival->work,
                       [=, this] { finish(call, index, lease, sent); });
        });
        if (!taken) {
            ++rejected_;
            net_.after(Hop, [=, this] { takeRejection(call, index, lease); });
        }
    }

    void finish(const CallPtr &call, std::size_t index, std::uint64_t lease, Instant sent)
    {
        const std::uint32_t load = servers_[index].end();
        net_.after(Hop, [=, this] {
            boxes_[call->box].noteAnswer(index, load);
            if (lease != 0) {
                owners_.end(call->box, index, {lease, index}, net_.now() - sent);
            }
        });
    }

    void takeRejection(const CallPtr &call, std::size_t server, std::uint64_t lease)
    {
        boxes_[call->box].noteAnswer(server, load_.slots + load_.queue);
        noteShort(call->box);
        if (lease != 0) {
            owners_.end(call->box, server, {lease, server, false, true}, Duration(0));
        }
        std::erase(call->order, server);
        if (call->sends < MostSends) {
            place(call);
        } else {
            refuse(call);
        }
    }

    static double part(std::size_t count, std::size_t all)
    {
        return all == 0 ? 0 : static_cast<double>(count) / static_cast<double>(all);
    }

    AdmissionLoad load_;
    Way way_;
    AdmissionNet net_;
    AdmissionOwners owners_;
    std::vector<ServerQueue> servers_;
    std::vector<BoxView> boxes_;
    AdmissionScore score_;
    std::unordered_map<std::uint64_t, Ask> pending_;
    std::uint64_t asks_ = 0;
    std::size_t sends_ = 0;
    std::size_t rejected_ = 0;
    std::size_t refused_ = 0;
    std::size_t refusedTwice_ = 0;
    std::size_t queued_ = 0;
    std::size_t withdrawn_ = 0;
};

} // namespace

std::vector<std::string> admissionWays()
{
    std::vector<std::string> names;
    for (const Way &way : ways()) {
        names.push_back(way.name);
    }
    return names;
}

AdmissionResult runAdmission(const AdmissionCase &what)
{
    const auto way = std::ranges::find(ways(), what.way, &Way::name);
    return AdmissionWorld(what, *way).run();
}

} // namespace limereel::performance
