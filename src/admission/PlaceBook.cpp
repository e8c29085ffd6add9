#include "admission/PlaceBook.h"

#include <algorithm>

namespace limereel::admission {

using kernel::Duration;
using kernel::Instant;

namespace {

// How long a duplicate or a late ask is recognized after its end or refusal. Datagrams between
// boxes are delayed by far less.
constexpr Duration PastKept = 2s;
// Bounds the memory at about 1 MB; 2 s of the ends and refusals of a server that runs 400 requests
// a second at five times its load are within it.
constexpr std::size_t MostPast = 4096;
// How often expected waits are compared with what is left when nothing else happens.
constexpr Duration RecheckAfter = 10ms;

bool mayWait(const PlaceRequest &ask)
{
    return ask.wait > Duration::zero() || ask.late > Duration::zero();
}

bool canBeInTime(const PlaceRequest &ask)
{
    return ask.wait > Duration::zero() || ask.late <= Duration::zero();
}

/** The same request among those that miss their objective, which stand behind all others. */
Waiting asLate(Waiting waiting, Instant now)
{
    waiting.inTimeUntil = now - Duration(1);
    return waiting;
}

} // namespace

Decision PlaceBook::ask(const PlaceRequest &ask, Instant now, std::mt19937_64 &random)
{
    if (const auto answer = answerFromPast(ask, now)) {
        return *answer;
    }
    Server &server = serverOf(ask, now);
    if (server.places.contains(ask.request) || server.asked.contains(ask.request)) {
        return repeated(server, ask, now);
    }
    const Waiting waiting = waitingOf(server, ask, now);
    const std::size_t ahead = server.queue.ahead(waiting, now);
    if (ahead == 0 && loadOf(server, now) < server.capacity.limit()) {
        if (!mayWait(ask)) {
            // The grant uses up the reserved return, which waitingOf() left in place.
            server.returns.returns(ask.identity, now);
        }
        noteDemand(server, waiting, now);
        // The expected waits of those in the queue have grown.
        schedule(ask.server, server, now);
        return grant(server, ask, now);
    }
    const Duration expected = waitOf(server, waiting, now);
    // An ask that may not wait is never queued, also while no wait is known: boxes of earlier
    // builds don't know the answer.
    if (ask.wait > Duration::zero() && now + expected <= waiting.inTimeUntil) {
        noteDemand(server, waiting, now);
        return enqueue(server, ask, waiting, now, random);
    }
    if (ask.late > Duration::zero()) {
        const Waiting late = asLate(waiting, now);
        if (waitOf(server, late, now) <= ask.wait + ask.late) {
            return enqueue(server, ask, late, now, random);
        }
    }
    return refuse(server, ask, waiting, expected, now, random);
}

void PlaceBook::hold(const PlaceRequest &ask, Instant now)
{
    const auto past = past_.find({ask.server, ask.request});
    if (past != past_.end() && !past->second.refusal && now - past->second.at <= PastKept) {
        return;
    }
    Server &server = serverOf(ask, now);
    if (server.places.contains(ask.request)) {
        return;
    }
    server.queue.remove(ask.request);
    server.asked.erase(ask.request);
    noteDemand(server, {.priority = ask.priority, .inTimeUntil = now}, now);
    grant(server, ask, now);
    schedule(ask.server, server, now);
}

void PlaceBook::end(const PlaceEnd &end, Instant now)
{
    // An ask that arrives after its end would hold a place until its lease ends.
    remember({end.server, end.request}, {.at = now});
    const auto found = servers_.find(end.server);
    if (found == servers_.end()) {
        return;
    }
    Server &server = found->second;
    if (server.asked.erase(end.request) > 0) {
        server.queue.remove(end.request);
        server.lastUsed = now;
        schedule(end.server, server, now);
        return;
    }
    const auto place = server.places.find(end.request);
    if (place == server.places.end()) {
        return;
    }
    if (end.rejected && !end.unused) {
        server.capacity.noteRejected(now);
    } else if (!end.unused) {
        server.capacity.noteServed(now - place->second.grantedAt);
    }
    server.places.erase(place);
    server.lastUsed = now;
    schedule(end.server, server, now);
}

std::vector<Decision> PlaceBook::settle(Instant now, std::mt19937_64 &random)
{
    std::vector<Decision> decided = std::exchange(pushedOut_, {});
    while (!due_.empty() && due_.begin()->first <= now) {
        const std::uint64_t id = due_.begin()->second;
        due_.erase(due_.begin());
        Server &server = servers_.at(id);
        server.due.reset();
        settleServer(server, now, random, decided);
        if (const auto lapse = server.queue.nextLapse(now)) {
            Instant next = std::min(now + RecheckAfter, *lapse);
            if (const Instant settled = server.firstAsked + policy_.settle; settled > now) {
                next = std::min(next, settled);
            }
            schedule(id, server, std::max(next, now + Duration(1)));
        }
    }
    return decided;
}

std::vector<Decision> PlaceBook::refuseAll(Instant now)
{
    std::vector<Decision> refused = std::exchange(pushedOut_, {});
    for (auto &[id, server] : servers_) {
        for (const Waiting &waiting : server.queue.takeAll()) {
            const auto asked = server.asked.extract(waiting.request);
            const PlaceRequest &ask = asked.mapped();
            Decision decision = decisionOn(server, ask, Verdict::Refused, now);
            decision.expectedWait = waitBehind(server, 0, now);
            decision.comeBack = policy_.shortestReturn;
            remember({id, ask.request},
                     {.at = now, .refusal = decision, .wait = ask.wait, .late = ask.late});
            refused.push_back(decision);
        }
    }
    return refused;
}

void PlaceBook::dropBox(std::uint64_t box, Instant now)
{
    for (auto &[id, server] : servers_) {
        const auto ended = std::erase_if(
                server.places, [&](const auto &place) { return place.second.box == box; });
        const auto left = std::erase_if(server.asked, [&, &queue = server.queue](const auto &item) {
            return item.second.box == box && queue.remove(item.first);
        });
        if (ended + left > 0) {
            schedule(id, server, now);
        }
    }
}

void PlaceBook::expire(Instant now)
{
    for (auto &[id, server] : servers_) {
        const auto ended = std::erase_if(
                server.places, [&](const auto &place) { return now >= place.second.until; });
        if (ended > 0) {
            server.lastUsed = now;
            schedule(id, server, now);
        }
        server.returns.expire(now);
    }
    std::erase_if(servers_, [&](const auto &entry) {
        const Server &server = entry.second;
        const bool used = !server.places.empty() || server.queue.size() > 0
                          || server.returns.size() > 0 || now - server.lastUsed < policy_.idleKept;
        if (!used && server.due) {
            due_.erase({*server.due, entry.first});
        }
        return !used;
    });
    while (!pastOrder_.empty() && now - pastOrder_.front().first > PastKept) {
        forgetOldest();
    }
}

bool PlaceBook::anyWaiting() const
{
    // Every server at which a request waits is due at some time.
    return !pushedOut_.empty() || std::any_of(due_.begin(), due_.end(), [&](const auto &entry) {
        return servers_.at(entry.second).queue.size() > 0;
    });
}

bool PlaceBook::contains(std::uint64_t server, std::uint64_t request) const
{
    const auto found = servers_.find(server);
    return found != servers_.end()
           && (found->second.places.contains(request) || found->second.asked.contains(request));
}

std::uint32_t PlaceBook::load(std::uint64_t server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : static_cast<std::uint32_t>(found->second.places.size());
}

std::uint32_t PlaceBook::believedLoad(const PlaceRequest &ask, Instant now) const
{
    const auto found = servers_.find(ask.server);
    if (found == servers_.end()) {
        return ask.seen;
    }
    const bool settling = now - found->second.firstAsked < policy_.settle;
    return std::max(loadOf(found->second, now), settling ? ask.seen : 0);
}

PlaceBook::Server &PlaceBook::serverOf(const PlaceRequest &ask, Instant now)
{
    auto found = servers_.find(ask.server);
    if (found == servers_.end()) {
        Server fresh{.capacity = ServerCapacity(policy_.capacity),
                     .queue = WaitQueue(policy_.queue),
                     .returns = ReturnSchedule(policy_.returns),
                     .places = {},
                     .asked = {},
                     .firstAsked = now};
        found = servers_.emplace(ask.server, std::move(fresh)).first;
    }
    Server &server = found->second;
    server.lastUsed = now;
    if (now - server.firstAsked < policy_.settle) {
        server.seen = std::max(server.seen, ask.seen);
    }
    const std::uint32_t limit = server.capacity.limit();
    server.capacity.setSlots(ask.slots);
    if (server.capacity.limit() != limit) {
        schedule(ask.server, server, now);
    }
    return server;
}

std::uint32_t PlaceBook::loadOf(const Server &server, Instant now) const
{
    const auto places = static_cast<std::uint32_t>(server.places.size());
    return now - server.firstAsked < policy_.settle ? std::max(places, server.seen) : places;
}

Duration PlaceBook::waitBehind(const Server &server, std::size_t ahead, Instant now) const
{
    // Free places go to the first in the queue; places above the limit end before any is granted.
    const std::size_t taken = ahead + loadOf(server, now);
    const std::size_t limit = server.capacity.limit();
    return taken < limit ? Duration::zero() : server.capacity.expectedWait(taken - limit);
}

// What decides on the position of an ask in the queue. An ask that may not wait only asks for the
// expected wait: if it is refused, the caller's next one may wait and still uses the reserved
// return.
Waiting PlaceBook::waitingOf(Server &server, const PlaceRequest &ask, Instant now)
{
    const auto returning = mayWait(ask) ? server.returns.returns(ask.identity, now) : std::nullopt;
    Waiting waiting{.request = ask.request,
                    .organisation = ask.organisation,
                    .priority = ask.priority,
                    .returning = returning && returning->asTold,
                    .inTimeUntil = now + ask.wait,
                    .usefulUntil = now + ask.wait + ask.late};
    if (returning) {
        // The caller's objective counts from its first try.
        waiting.inTimeUntil = std::min(waiting.inTimeUntil, returning->inTimeUntil);
    }
    return canBeInTime(ask) ? waiting : asLate(waiting, now);
}

// Requests that arrive later and go first take their part of the places that come free.
Duration PlaceBook::waitOf(const Server &server, const Waiting &waiting, Instant now) const
{
    const double competing = now > waiting.inTimeUntil
                                     ? server.demand.all(now)
                                     : server.demand.higherThan(waiting.priority, now);
    return waitWithCompetition(waitBehind(server, server.queue.ahead(waiting, now), now),
                               server.capacity.freedPerSecond(), competing);
}

void PlaceBook::noteDemand(Server &server, const Waiting &waiting, Instant now)
{
    if (now <= waiting.inTimeUntil) {
        server.demand.note(waiting.priority, now);
    }
}

Decision PlaceBook::decisionOn(const Server &server, const PlaceRequest &ask, Verdict verdict,
                               Instant now) const
{
    return {.request = ask.request,
            .server = ask.server,
            .box = ask.box,
            .verdict = verdict,
            .load = loadOf(server, now),
            .limit = server.capacity.limit(),
            .waiting = static_cast<std::uint32_t>(server.queue.size())};
}

// Answers an ask that holds a place or waits for one.
Decision PlaceBook::repeated(const Server &server, const PlaceRequest &ask, Instant now) const
{
    if (server.places.contains(ask.request)) {
        return decisionOn(server, ask, Verdict::Granted, now);
    }
    Decision decision = decisionOn(server, ask, Verdict::Queued, now);
    if (const auto waiting = server.queue.find(ask.request)) {
        decision.expectedWait = waitOf(server, *waiting, now);
    }
    return decision;
}

Decision PlaceBook::grant(Server &server, const PlaceRequest &ask, Instant now)
{
    const Duration lease = ask.lease > Duration::zero() ? ask.lease : policy_.lease;
    server.places[ask.request] = {ask.box, now, now + lease};
    server.queue.noteGranted(ask.organisation, now);
    past_.erase({ask.server, ask.request});
    return decisionOn(server, ask, Verdict::Granted, now);
}

Decision PlaceBook::enqueue(Server &server, const PlaceRequest &ask, const Waiting &waiting,
                            Instant now, std::mt19937_64 &random)
{
    const std::size_t ahead = server.queue.ahead(waiting, now);
    const Duration expected = waitOf(server, waiting, now);
    if (server.queue.full()) {
        // The last one makes room for one that goes before it.
        const auto last = ahead < server.queue.size() ? server.queue.takeLast(now) : std::nullopt;
        if (!last) {
            return refuse(server, ask, waiting, expected, now, random);
        }
        const auto asked = server.asked.extract(last->request);
        const Duration wait = waitBehind(server, server.queue.size(), now);
        pushedOut_.push_back(refuse(server, asked.mapped(), *last, wait, now, random));
    }
    server.queue.add(waiting);
    server.asked[ask.request] = ask;
    past_.erase({ask.server, ask.request});
    schedule(ask.server, server, now);
    Decision decision = decisionOn(server, ask, Verdict::Queued, now);
    decision.expectedWait = expected;
    return decision;
}

Decision PlaceBook::refuse(Server &server, const PlaceRequest &ask, const Waiting &waiting,
                           Duration expectedWait, Instant now, std::mt19937_64 &random)
{
    Decision decision = decisionOn(server, ask, Verdict::Refused, now);
    decision.expectedWait = expectedWait;
    // Where higher priorities take all places, the expected wait is LongestWait, but their demand
    // may fall long before.
    const Duration behind = waitBehind(server, server.queue.ahead(waiting, now), now);
    Duration comeBack = std::min(expectedWait, longestReturn(behind));
    if (mayWait(ask)) {
        const double spare =
                spareForReturns(server.capacity.freedPerSecond(), server.demand.all(now));
        comeBack = server.returns.promise(ask.identity, spare, waiting.inTimeUntil, now, random);
    }
    decision.comeBack = std::max(comeBack, policy_.shortestReturn);
    remember({ask.server, ask.request},
             {.at = now, .refusal = decision, .wait = ask.wait, .late = ask.late});
    return decision;
}

void PlaceBook::settleServer(Server &server, Instant now, std::mt19937_64 &random,
                             std::vector<Decision> &decided)
{
    const auto refuseTaken = [&](const Waiting &waiting) {
        const auto asked = server.asked.extract(waiting.request);
        const Duration wait = waitBehind(server, server.queue.size(), now);
        decided.push_back(refuse(server, asked.mapped(), waiting, wait, now, random));
    };
    while (loadOf(server, now) < server.capacity.limit()) {
        const auto next = server.queue.takeNext(now);
        if (!next) {
            return;
        }
        if (next->usefulUntil < now) {
            refuseTaken(*next);
            continue;
        }
        const auto asked = server.asked.extract(next->request);
        decided.push_back(grant(server, asked.mapped(), now));
    }
    const std::size_t inTime = server.queue.inTime(now);
    const double freed = server.capacity.freedPerSecond();
    const double beforeLate = server.demand.allSustained(now);
    const auto wait = [&](std::size_t ahead) {
        const Duration behind = waitBehind(server, ahead, now);
        return ahead < inTime ? behind : waitWithCompetition(behind, freed, beforeLate);
    };
    for (const Waiting &waiting : server.queue.takeUnservable(now, wait)) {
        refuseTaken(waiting);
    }
}

// Makes settle() decide on the server's queue at \a due, unless an earlier time is set.
void PlaceBook::schedule(std::uint64_t id, Server &server, Instant due)
{
    if (server.queue.size() == 0 || (server.due && *server.due <= due)) {
        return;
    }
    if (server.due) {
        due_.erase({*server.due, id});
    }
    server.due = due;
    due_.emplace(due, id);
}

void PlaceBook::remember(const Key &key, const Past &past)
{
    past_[key] = past;
    pastOrder_.emplace_back(past.at, key);
    while (pastOrder_.size() > MostPast) {
        forgetOldest();
    }
}

void PlaceBook::forgetOldest()
{
    const auto &[at, key] = pastOrder_.front();
    const auto entry = past_.find(key);
    if (entry != past_.end() && entry->second.at == at) {
        past_.erase(entry);
    }
    pastOrder_.pop_front();
}

// What a duplicate of an ask, or one that arrives after its end, is answered. A refused request may
// ask again if it can wait longer than before.
std::optional<Decision> PlaceBook::answerFromPast(const PlaceRequest &ask, Instant now) const
{
    const auto found = past_.find({ask.server, ask.request});
    if (found == past_.end() || now - found->second.at > PastKept) {
        return std::nullopt;
    }
    const Past &past = found->second;
    if (!past.refusal) {
        return Decision{.request = ask.request,
                        .server = ask.server,
                        .box = ask.box,
                        .verdict = Verdict::Refused,
                        .comeBack = policy_.shortestReturn};
    }
    const bool waitsLonger = ask.wait > past.wait || ask.wait + ask.late > past.wait + past.late;
    return waitsLonger ? std::nullopt : past.refusal;
}

} // namespace limereel::admission
