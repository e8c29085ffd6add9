#include "forward/ServerTable.h"

#include "forward/ServerChoice.h"

#include <algorithm>

namespace limereel::forward {

namespace {

kernel::Duration leftUntil(kernel::Instant end, kernel::Instant now)
{
    return std::max(kernel::Duration(0), end - now);
}

} // namespace

void ServerTable::put(const ListedServer &server, kernel::Instant since)
{
    index_.put(known(server), since);
    setBackoff(*index_.find(server.id));
}

ListedServer ServerTable::known(ListedServer listed) const
{
    const ServerRecord *record = index_.find(listed.id);
    const bool sameLife = record != nullptr && record->hash == listed.hash();
    if (sameLife && record->server.version != listed.version) {
        listed.version = {};
    }
    listed.leaving = listed.leaving || leavingServers_.contains(listed.hash());
    return listed;
}

StreamOrigin ServerTable::corrected(StreamOrigin origin) const
{
    const ServerRecord *record = index_.findHash(origin.server);
    if (record != nullptr && !record->server.version.sameAs(origin.version)) {
        origin.version = {};
    }
    return origin;
}

bool ServerTable::anyContinues(const StreamOrigin &origin) const
{
    return std::ranges::any_of(index_.all(), [&](const auto &entry) {
        return takesWork(entry.second) && origin.mayContinueAt(entry.second.server);
    });
}

// Looked up by incarnation: the server may have been unlisted for a while, or have replaced another
// one.
void ServerTable::setBackoff(ServerRecord &record)
{
    record.backoffUntil = backoffs_.until(record.hash);
    if (record.backoffUntil != kernel::Instant()) {
        index_.track(record);
    }
}

void ServerTable::remove(const std::string &id)
{
    index_.remove(id);
    parts_.forget(id);
}

bool ServerTable::takesWork(const ServerRecord &record) const
{
    return !record.server.leaving && !drainedHalls_.contains(record.server.hall);
}

bool ServerTable::takesWork(const std::string &id) const
{
    const ServerRecord *record = index_.find(id);
    return record != nullptr && takesWork(*record);
}

bool ServerTable::mayBeSent(const ListedServer &server, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(server.id);
    return record != nullptr && record->hash == server.hash() && takesWork(*record)
           && !record->inBackoff(now);
}

void ServerTable::forEach(const std::function<void(const ListedServer &server)> &visit) const
{
    for (const auto &[id, record] : index_.all()) {
        visit(record.server);
    }
}

std::vector<std::string> ServerTable::ids() const
{
    std::vector<std::string> ids;
    forEach([&ids](const ListedServer &server) { ids.push_back(server.id); });
    return ids;
}

std::optional<ListedServer> ServerTable::find(const std::string &id) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? std::nullopt : std::optional(record->server);
}

// Halls to which the request, or parts of its prompt, may be sent.
HallSet ServerTable::allowedHalls(const ServerRequirements &requirements) const
{
    HallSet allowed;
    for (const std::string &hall : index_.halls()) {
        const auto region = hallRegions_.find(hall);
        const bool home = region != hallRegions_.end()
                          && std::ranges::find(requirements.regions, region->second)
                                     != requirements.regions.end();
        allowed.push_back(requirements.regions.empty() || home);
    }
    return allowed;
}

HallSet ServerTable::openHalls(const ServerRequirements &requirements) const
{
    HallSet open = allowedHalls(requirements);
    for (std::size_t hall = 0; hall < open.size(); ++hall) {
        open[hall] = open[hall] && !drainedHalls_.contains(index_.halls()[hall]);
    }
    return open;
}

HallSigns ServerTable::signsOf(const std::string &hall, kernel::Instant now) const
{
    const kernel::Instant heard = halls_.heard(hall);
    HallSigns signs(heard, health_.silence(heard, now));
    for (const ServerRecord *record : index_.tracked()) {
        if (record->server.hall == hall) {
            signs.add(health_.signOf(*record, now));
        }
    }
    return signs;
}

HallSet ServerTable::closedHalls(kernel::Instant now) const
{
    std::map<std::string, std::size_t> quietServers;
    for (const ServerRecord *record : index_.tracked()) {
        if (health_.signOf(*record, now).quiet()) {
            ++quietServers[record->server.hall];
        }
    }
    const auto signs = [&](const std::string &hall) { return signsOf(hall, now); };
    const std::set<std::string> names = halls_.closed(quietServers, signs, now);
    HallSet closed;
    for (const std::string &hall : index_.halls()) {
        closed.push_back(names.contains(hall));
    }
    return closed;
}

void ServerTable::noteAwake(kernel::Instant now)
{
    // All times are shifted alike, so that their order stays the same.
    const auto stalledFor = [&](kernel::Instant since) { return health_.stalledFor(since, now); };
    if (stalledFor({}) > kernel::Duration(0)) {
        for (ServerRecord *record : index_.tracked()) {
            record->lastHeard += stalledFor(record->lastHeard);
            record->dueSince += stalledFor(record->dueSince);
            record->noResponseAt += stalledFor(record->noResponseAt);
        }
        halls_.shiftTimes(stalledFor);
    }
    health_.noteAwake(now);
    backoffs_.expire(now);
    std::erase_if(backoffAskedAt_,
                  [&](const auto &asked) { return now - asked.second >= policy_.limitedToSlots; });
    leavingServers_.expire(now, [this](std::uint64_t incarnationKey) {
        return index_.findHash(incarnationKey) != nullptr;
    });
    index_.dropUntracked(now);
}

bool ServerTable::silent(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record != nullptr && health_.silent(*record, now);
}

bool ServerTable::isSuspected(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record != nullptr && health_.isSuspected(*record, now);
}

double ServerTable::load(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? 0 : record->load(now);
}

bool ServerTable::hasFreeSlot(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record != nullptr && !record->allSlotsTaken(now) && now >= record->fullUntil;
}

PartSource ServerTable::partSource(const ServerRequirements &requirements,
                                   kernel::Instant now) const
{
    return {{index_, health_, parts_, policy_.newServerAge, now}, requirements};
}

std::optional<Choice> ServerTable::choose(const ServerRequirements &requirements,
                                          kernel::Instant now, std::mt19937_64 &random) const
{
    const ServerView view{index_,
                          health_,
                          openHalls(requirements),
                          closedHalls(now),
                          limitedToSlots(requirements.service, now),
                          now};
    const ServerChoice servers(view, policy_, requirements);
    const bool byParts = requirements.prompt != nullptr && !requirements.prompt->parts.empty();
    const auto holds = [source = partSource(requirements, now)](const ServerRecord &record) {
        return source.holdsAll(record);
    };
    const bool inOrder = requirements.prompt == nullptr && requirements.order != 0;
    const bool idlest = !byParts || requirements.alone;
    const ServerRecord *chosen = inOrder               ? servers.inOrder()
                                 : idlest              ? servers.idlest(random)
                                 : requirements.spread ? servers.spread(random)
                                                       : servers.forPrompt(holds);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const bool trial =
            chosen->failuresInARow > 0 || halls_.isSuspected(signsOf(chosen->server.hall, now));
    Choice choice{chosen->server, std::nullopt, 0, trial};
    if (byParts) {
        updateSource(requirements, choice, now);
    }
    return choice;
}

void ServerTable::updateSource(const ServerRequirements &requirements, Choice &choice,
                               kernel::Instant now) const
{
    const ServerRecord *chosen = index_.find(choice.server.id);
    if (requirements.prompt == nullptr || chosen == nullptr) {
        return;
    }
    const PartSource source = partSource(requirements, now);
    choice.held = source.heldBy(*chosen);
    choice.takeFrom = requirements.takeParts
                              ? source.find(*chosen, choice.held, allowedHalls(requirements))
                              : std::nullopt;
}

std::optional<ListedServer>
ServerTable::preferredServer(const ServerRequirements &requirements) const
{
    const ServiceServers *service = index_.service(requirements.service);
    if (service == nullptr) {
        return std::nullopt;
    }
    const HallSet open = openHalls(requirements);
    CandidateOrder order(service->table, sharedPartsKey(*requirements.prompt),
                         [&open](const ServerRecord &record) {
                             return !record.server.leaving && open[record.hall];
                         });
    const ServerRecord *first = order.next();
    return first == nullptr ? std::nullopt : std::optional(first->server);
}

bool ServerTable::sourceKnown(const ServerRequirements &requirements, const Choice &choice,
                              kernel::Instant now) const
{
    return partSource(requirements, now).known(choice);
}

void ServerTable::begin(const std::string &id, const Prompt *prompt, kernel::Instant now)
{
    ServerRecord *record = index_.find(id);
    if (record == nullptr) {
        return;
    }
    if (record->own == 0) {
        record->dueSince = now;
    }
    index_.beginRequest(*record);
    if (prompt != nullptr && !prompt->parts.empty()) {
        parts_.note(*prompt, id, now);
    }
}

void ServerTable::end(const std::string &id)
{
    if (ServerRecord *record = index_.find(id)) {
        index_.endRequest(*record);
    }
}

void ServerTable::noteAttempt(const std::string &id, kernel::Instant now)
{
    if (const ServerRecord *record = index_.find(id)) {
        halls_.noteAttempt(record->server.hall, now);
    }
}

void ServerTable::noteHeard(const std::string &id, kernel::Instant now)
{
    if (ServerRecord *record = index_.find(id)) {
        record->lastHeard = now;
        halls_.noteHeard(record->server.hall, now);
    }
}

void ServerTable::noteLoad(const std::string &id, const ReportedLoad &reported, kernel::Instant now)
{
    if (const ServerRecord *record = index_.find(id)) {
        const double total = static_cast<double>(reported.running) + reported.waiting;
        setOthers(id, std::max(0.0, total - record->own), now);
    }
}

void ServerTable::setOthers(const std::string &id, double others, kernel::Instant now)
{
    if (ServerRecord *record = index_.find(id)) {
        record->others = others;
        record->othersAt = now;
        index_.track(*record);
    }
}

void ServerTable::noteSuccess(const std::string &id, kernel::Instant now)
{
    if (ServerRecord *record = index_.find(id)) {
        record->failuresInARow = 0;
        record->suspectedUntil = now;
        record->noteGoodAnswer(now);
    }
}

void ServerTable::noteFailure(const std::string &id, Failure failure, kernel::Instant now)
{
    if (ServerRecord *record = index_.find(id)) {
        health_.noteFailure(*record, failure, now);
        index_.track(*record);
    }
}

// Without the flag, a record must not become tracked because of its pace: choices would differ.
void ServerTable::noteAnswerTime(const std::string &id, kernel::Duration taken, kernel::Instant now)
{
    ServerRecord *record = index_.find(id);
    if (policy_.comparePaces && record != nullptr && !record->server.engine) {
        record->pace.note(taken, now);
        index_.track(*record);
    }
}

void ServerTable::noteBackoff(const ListedServer &server, kernel::Duration asked,
                              kernel::Instant now)
{
    backoffs_.note(server.hash(), asked, now);
    backoffAskedAt_[server.service] = now;
    if (ServerRecord *record = index_.find(server.id)) {
        setBackoff(*record);
    }
}

bool ServerTable::noteLeaving(const ListedServer &server, kernel::Instant now)
{
    const bool news = leavingServers_.note(server.hash(), now);
    const ServerRecord *record = index_.find(server.id);
    if (news && record != nullptr) {
        index_.put(known(record->server), record->since);
    }
    return news;
}

kernel::Duration ServerTable::backoffLeft(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? kernel::Duration(0) : leftUntil(record->backoffUntil, now);
}

bool ServerTable::allBackingOff(const ServerRequirements &requirements, kernel::Instant now) const
{
    const ServiceServers *service = index_.service(requirements.service);
    if (service == nullptr) {
        return false;
    }
    const HallSet open = openHalls(requirements);
    bool any = false;
    for (HallNumber hall = 0; hall < service->byHall.size(); ++hall) {
        if (!open[hall]) {
            continue;
        }
        for (const ServerRecord *record : service->byHall[hall]) {
            if (requirements.origin && !requirements.origin->mayContinueAt(record->server)) {
                continue;
            }
            any = true;
            if (!record->inBackoff(now)) {
                return false;
            }
        }
    }
    return any;
}

bool ServerTable::limitedToSlots(const std::string &service, kernel::Instant now) const
{
    const auto it = backoffAskedAt_.find(service);
    return it != backoffAskedAt_.end() && now - it->second < policy_.limitedToSlots;
}

kernel::Duration ServerTable::fullLeft(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? kernel::Duration(0) : leftUntil(record->fullUntil, now);
}

std::uint32_t ServerTable::ownLoad(const std::string &service) const
{
    const ServiceServers *servers = index_.service(service);
    return servers == nullptr ? 0 : servers->own;
}

std::uint32_t ServerTable::ownLoadAt(const std::string &id) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? 0 : record->own;
}

std::size_t ServerTable::serversInSameService(std::uint64_t hash) const
{
    const ServerRecord *record = index_.findHash(hash);
    return record == nullptr ? 0 : serversOf(record->server.service);
}

std::string ServerTable::serviceOf(std::uint64_t hash) const
{
    const ServerRecord *record = index_.findHash(hash);
    return record == nullptr ? std::string() : record->server.service;
}

std::size_t ServerTable::serversOf(const std::string &service) const
{
    return hallServersOf(service).all;
}

HallServers ServerTable::hallServersOf(const std::string &service) const
{
    HallServers count;
    const ServiceServers *servers = index_.service(service);
    if (servers == nullptr) {
        return count;
    }
    for (std::size_t hall = 0; hall < servers->byHall.size(); ++hall) {
        const std::string &name = index_.halls()[hall];
        const std::size_t here = drainedHalls_.contains(name) ? 0 : servers->byHall[hall].size();
        count.all += here;
        count.own += name == policy_.hall ? here : 0;
    }
    return count;
}

bool ServerTable::drawAnyHall(const std::string &service, std::mt19937_64 &random) const
{
    const double share = ownHallShare(hallServersOf(service), policy_.loadMultiple);
    return !std::bernoulli_distribution(share)(random);
}

} // namespace limereel::forward
