#include "forward/ServerBook.h"

#include "forward/ServerChoice.h"

#include <algorithm>

namespace limereel::forward {

namespace {

bool hinted(const ServerRecord &record, const Wish &wish)
{
    const auto shortened = static_cast<std::uint32_t>(record.hash);
    return std::ranges::find(wish.holders, shortened) != wish.holders.end();
}

kernel::Duration leftUntil(kernel::Instant end, kernel::Instant now)
{
    return std::max(kernel::Duration(0), end - now);
}

} // namespace

void ServerBook::put(const ListedServer &server, kernel::Instant since)
{
    index_.put(known(server), since);
    setRest(*index_.find(server.id));
}

ListedServer ServerBook::known(ListedServer listed) const
{
    listed.leaving = listed.leaving || leaving_.contains(listed.hash());
    return listed;
}

// By its life: it may have been listed no more for a while, or have taken another's place.
void ServerBook::setRest(ServerRecord &record)
{
    record.restUntil = rests_.until(record.hash);
    if (record.restUntil != kernel::Instant()) {
        index_.note(record);
    }
}

void ServerBook::remove(const std::string &id)
{
    index_.remove(id);
    parts_.forget(id);
}

bool ServerBook::takesWork(const ServerRecord &record) const
{
    return !record.server.leaving && !drainedHalls_.contains(record.server.hall);
}

bool ServerBook::takesWork(const std::string &id) const
{
    const ServerRecord *record = index_.find(id);
    return record != nullptr && takesWork(*record);
}

bool ServerBook::mayBeSent(const ListedServer &server, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(server.id);
    return record != nullptr && record->hash == server.hash() && takesWork(*record)
           && !record->rests(now);
}

void ServerBook::forEach(const std::function<void(const ListedServer &server)> &visit) const
{
    for (const auto &[id, record] : index_.all()) {
        visit(record.server);
    }
}

std::vector<std::string> ServerBook::ids() const
{
    std::vector<std::string> ids;
    forEach([&ids](const ListedServer &server) { ids.push_back(server.id); });
    return ids;
}

std::optional<ListedServer> ServerBook::find(const std::string &id) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? std::nullopt : std::optional(record->server);
}

// Where the request, or parts of its prompt, may go.
HallSet ServerBook::allowedHalls(const Wish &wish) const
{
    HallSet allowed;
    for (const std::string &hall : index_.halls()) {
        const auto region = hallRegions_.find(hall);
        const bool home = region != hallRegions_.end()
                          && std::ranges::find(wish.regions, region->second) != wish.regions.end();
        allowed.push_back(wish.regions.empty() || home);
    }
    return allowed;
}

HallSet ServerBook::openHalls(const Wish &wish) const
{
    HallSet open = allowedHalls(wish);
    for (std::size_t hall = 0; hall < open.size(); ++hall) {
        open[hall] = open[hall] && !drainedHalls_.contains(index_.halls()[hall]);
    }
    return open;
}

HallSigns ServerBook::signsOf(const std::string &hall, kernel::Instant now) const
{
    const kernel::Instant heard = halls_.heard(hall);
    HallSigns signs(heard, health_.silence(heard, now));
    for (const ServerRecord *record : index_.noted()) {
        if (record->server.hall == hall) {
            signs.add(health_.signOf(*record, now));
        }
    }
    return signs;
}

HallSet ServerBook::closedHalls(kernel::Instant now) const
{
    std::map<std::string, std::size_t> quietServers;
    for (const ServerRecord *record : index_.noted()) {
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

void ServerBook::noteAwake(kernel::Instant now)
{
    // All marks move alike, so that what was later than another stays so.
    const auto standstill = [&](kernel::Instant since) { return health_.standstill(since, now); };
    if (standstill({}) > kernel::Duration(0)) {
        for (ServerRecord *record : index_.noted()) {
            record->lastHeard += standstill(record->lastHeard);
            record->dueSince += standstill(record->dueSince);
            record->noResponseAt += standstill(record->noResponseAt);
        }
        halls_.putOff(standstill);
    }
    health_.noteAwake(now);
    rests_.expire(now);
    std::erase_if(restAskedAt_,
                  [&](const auto &asked) { return now - asked.second >= policy_.heldToPlaces; });
    leaving_.expire(now, [this](std::uint64_t life) { return index_.findHash(life) != nullptr; });
    index_.dropUnused(now);
}

bool ServerBook::silent(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record != nullptr && health_.silent(*record, now);
}

bool ServerBook::doubted(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record != nullptr && health_.doubted(*record, now);
}

double ServerBook::load(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? 0 : record->load(now);
}

bool ServerBook::holdsAll(const ServerRecord &record, const Wish &wish, kernel::Instant now) const
{
    return hinted(record, wish)
           || parts_.depth(*wish.prompt, record.server.id, now)
                      >= sharedPrefixes(*wish.prompt).size();
}

std::optional<Choice> ServerBook::choose(const Wish &wish, kernel::Instant now,
                                         std::mt19937_64 &random) const
{
    const ServerView view{
            index_, health_, openHalls(wish), closedHalls(now), heldToPlaces(wish.service, now),
            now};
    const ServerChoice servers(view, policy_, wish);
    const bool byParts = wish.prompt != nullptr && !wish.prompt->parts.empty();
    const auto holds = [&](const ServerRecord &record) { return holdsAll(record, wish, now); };
    const bool idlest = !byParts || wish.alone;
    const ServerRecord *chosen = idlest        ? servers.idlest(random)
                                 : wish.spread ? servers.spread(random)
                                               : servers.forPrompt(holds);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const bool trial =
            chosen->failuresInARow > 0 || halls_.doubted(signsOf(chosen->server.hall, now));
    Choice choice{chosen->server, std::nullopt, 0, trial};
    if (byParts) {
        settleSource(wish, choice, now);
    }
    return choice;
}

void ServerBook::settleSource(const Wish &wish, Choice &choice, kernel::Instant now) const
{
    const ServerRecord *chosen = index_.find(choice.server.id);
    if (wish.prompt == nullptr || chosen == nullptr) {
        return;
    }
    choice.held = hinted(*chosen, wish) ? sharedPrefixes(*wish.prompt).size()
                                        : parts_.depth(*wish.prompt, chosen->server.id, now);
    choice.takeFrom = wish.takeParts ? sourceFor(*chosen, wish, choice.held, now) : std::nullopt;
}

// Another server from which \a target may take what it lacks of the prompt: one that is known to
// hold it, else the one to which the prompt would go without \a target and without those that
// came lately, since the list was another one when the parts were read.
std::optional<kernel::Endpoint> ServerBook::sourceFor(const ServerRecord &target, const Wish &wish,
                                                      std::size_t held, kernel::Instant now) const
{
    const Prompt &prompt = *wish.prompt;
    if (held >= sharedPrefixes(prompt).size()) {
        return std::nullopt;
    }
    const HallSet allowed = allowedHalls(wish);
    const auto mayGive = [&](const ServerRecord &record) {
        const bool tried = std::ranges::find(wish.tried, record.server.id) != wish.tried.end();
        return record.server.service == wish.service && allowed[record.hall] && &record != &target
               && !tried && !health_.doubted(record, now);
    };
    if (const ServerRecord *holder = namedGiver(wish.holders, mayGive)) {
        return holder->server.address;
    }
    for (const std::string &id : parts_.holders(prompt, held, now)) {
        const ServerRecord *record = index_.find(id);
        if (record != nullptr && mayGive(*record)) {
            return record->server.address;
        }
    }
    // Better than a guess: parts that many prompts begin with lie at engines that never had this
    // one.
    const ServerRecord *beginner = held == 0 ? namedGiver(wish.beginners, mayGive) : nullptr;
    const ServerRecord *giver = beginner != nullptr ? beginner : guessedGiver(wish, mayGive, now);
    return giver == nullptr ? std::nullopt : std::optional(giver->server.address);
}

const ServerRecord *
ServerBook::namedGiver(const std::vector<std::uint32_t> &named,
                       const std::function<bool(const ServerRecord &)> &mayGive) const
{
    for (const std::uint32_t hash : named) {
        const ServerRecord *record = index_.findShort(hash);
        if (record != nullptr && mayGive(*record)) {
            return record;
        }
    }
    return nullptr;
}

const ServerRecord *
ServerBook::guessedGiver(const Wish &wish, const std::function<bool(const ServerRecord &)> &mayGive,
                         kernel::Instant now) const
{
    const ServiceServers *service = index_.service(wish.service);
    if (service == nullptr) {
        return nullptr;
    }
    const std::uint64_t key = sharedPartsKey(*wish.prompt);
    CandidateOrder old(service->table, key, [&](const ServerRecord &record) {
        return now - record.since >= policy_.newcomer && mayGive(record);
    });
    const ServerRecord *giver = old.next();
    return giver != nullptr ? giver : CandidateOrder(service->table, key, mayGive).next();
}

std::optional<ListedServer> ServerBook::firstFor(const Wish &wish) const
{
    const ServiceServers *service = index_.service(wish.service);
    if (service == nullptr) {
        return std::nullopt;
    }
    const HallSet open = openHalls(wish);
    CandidateOrder order(service->table, sharedPartsKey(*wish.prompt),
                         [&open](const ServerRecord &record) {
                             return !record.server.leaving && open[record.hall];
                         });
    const ServerRecord *first = order.next();
    return first == nullptr ? std::nullopt : std::optional(first->server);
}

bool ServerBook::sourceKnown(const Wish &wish, const Choice &choice, kernel::Instant now) const
{
    const std::size_t shared = sharedPrefixes(*wish.prompt).size();
    const bool named = std::ranges::any_of(
            wish.holders, [this](std::uint32_t hash) { return index_.findShort(hash) != nullptr; });
    return choice.held >= shared || named || !parts_.holders(*wish.prompt, shared - 1, now).empty();
}

void ServerBook::begin(const std::string &id, const Prompt *prompt, kernel::Instant now)
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

void ServerBook::end(const std::string &id)
{
    if (ServerRecord *record = index_.find(id)) {
        index_.endRequest(*record);
    }
}

void ServerBook::noteAttempt(const std::string &id, kernel::Instant now)
{
    if (const ServerRecord *record = index_.find(id)) {
        halls_.noteAttempt(record->server.hall, now);
    }
}

void ServerBook::noteHeard(const std::string &id, kernel::Instant now)
{
    if (ServerRecord *record = index_.find(id)) {
        record->lastHeard = now;
        halls_.noteHeard(record->server.hall, now);
    }
}

void ServerBook::noteLoad(const std::string &id, const ReportedLoad &reported, kernel::Instant now)
{
    if (const ServerRecord *record = index_.find(id)) {
        const double total = static_cast<double>(reported.running) + reported.waiting;
        setOthers(id, std::max(0.0, total - record->own), now);
    }
}

void ServerBook::setOthers(const std::string &id, double others, kernel::Instant now)
{
    if (ServerRecord *record = index_.find(id)) {
        record->others = others;
        record->othersAt = now;
        index_.note(*record);
    }
}

void ServerBook::noteSuccess(const std::string &id, kernel::Instant now)
{
    if (ServerRecord *record = index_.find(id)) {
        record->failuresInARow = 0;
        record->doubtedUntil = now;
        record->noteGoodAnswer(now);
    }
}

void ServerBook::noteFailure(const std::string &id, Failure failure, kernel::Instant now)
{
    if (ServerRecord *record = index_.find(id)) {
        health_.noteFailure(*record, failure, now);
        index_.note(*record);
    }
}

void ServerBook::noteRest(const ListedServer &server, kernel::Duration asked, kernel::Instant now)
{
    rests_.note(server.hash(), asked, now);
    restAskedAt_[server.service] = now;
    if (ServerRecord *record = index_.find(server.id)) {
        setRest(*record);
    }
}

bool ServerBook::noteLeaving(const ListedServer &server, kernel::Instant now)
{
    const bool news = leaving_.note(server.hash(), now);
    const ServerRecord *record = index_.find(server.id);
    if (news && record != nullptr) {
        index_.put(known(record->server), record->since);
    }
    return news;
}

kernel::Duration ServerBook::restLeft(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? kernel::Duration(0) : leftUntil(record->restUntil, now);
}

bool ServerBook::allRest(const Wish &wish, kernel::Instant now) const
{
    const ServiceServers *service = index_.service(wish.service);
    if (service == nullptr) {
        return false;
    }
    const HallSet open = openHalls(wish);
    bool any = false;
    for (HallNumber hall = 0; hall < service->byHall.size(); ++hall) {
        if (!open[hall]) {
            continue;
        }
        const auto &servers = service->byHall[hall];
        any = any || !servers.empty();
        if (!std::ranges::all_of(servers,
                                 [now](const auto *record) { return record->rests(now); })) {
            return false;
        }
    }
    return any;
}

bool ServerBook::heldToPlaces(const std::string &service, kernel::Instant now) const
{
    const auto place = restAskedAt_.find(service);
    return place != restAskedAt_.end() && now - place->second < policy_.heldToPlaces;
}

kernel::Duration ServerBook::fullLeft(const std::string &id, kernel::Instant now) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? kernel::Duration(0) : leftUntil(record->fullUntil, now);
}

std::uint32_t ServerBook::ownLoad(const std::string &service) const
{
    const ServiceServers *servers = index_.service(service);
    return servers == nullptr ? 0 : servers->own;
}

std::uint32_t ServerBook::ownLoadAt(const std::string &id) const
{
    const ServerRecord *record = index_.find(id);
    return record == nullptr ? 0 : record->own;
}

std::size_t ServerBook::serversBeside(std::uint64_t hash) const
{
    const ServerRecord *record = index_.findHash(hash);
    if (record == nullptr) {
        return 0;
    }
    std::size_t count = 0;
    const auto &byHall = index_.service(record->server.service)->byHall;
    for (std::size_t hall = 0; hall < byHall.size(); ++hall) {
        count += drainedHalls_.contains(index_.halls()[hall]) ? 0 : byHall[hall].size();
    }
    return count;
}

} // namespace limereel::forward
