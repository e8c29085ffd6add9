#include "gateway/ServerSelection.h"

#include "gateway/RunLog.h"

#include <algorithm>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxOwnersAsked = forward::PlaceSearch::MaxOwnersAsked;
// Owners that may queue the request. A second one still finds a place where the first has ended or
// its answer was lost; each further one costs the caller more time than it is likely to gain.
constexpr std::size_t MaxWaitingAsks = 2;
// The end of a request reaches the owner within this time of its deadline, unless it is lost.
constexpr kernel::Duration LeaseMargin = 500ms;
// Shortest time between two restarts that are assumed of one server; longer than any is cold.
constexpr kernel::Duration MinRestartInterval = 20s;
constexpr const char *AllCold = "all backend servers that could run it have just started and have "
                                "been sent as many requests as they bear";
constexpr const char *AllFull =
        "all backend servers that could run it have as many requests as they have places";

SendBasis basisOf(const PlaceOutcome &outcome)
{
    SendBasis basis;
    basis.owner = outcome.asked;
    basis.load = outcome.load;
    basis.limit = outcome.limit;
    if (outcome.unanswered) {
        basis.said = forward::OwnerSaid::Nothing;
    } else {
        basis.said = outcome.place ? forward::OwnerSaid::Granted : forward::OwnerSaid::AboveBound;
    }
    return basis;
}

} // namespace

// An engine has a limited number of slots, so the owner of the chosen engine has to grant a place.
// A cold server is never used without permission, because too many requests would overload it.
asio::awaitable<std::optional<forward::Choice>> ServerSelection::choose()
{
    forward::ServerRequirements requirements = this->requirements();
    begin(requirements);
    while (true) {
        auto choice = run_.fleetView.servers().choose(requirements, run_.context.now(),
                                                      run_.context.random);
        if (!choice) {
            co_return co_await withoutChoice(requirements);
        }
        const bool learned = co_await learnHolders(requirements, *choice);
        if (learned) {
            continue;
        }
        noteTrial(*choice);
        const Step step = co_await takePlace(requirements, *choice);
        if (step == Step::Taken) {
            co_return choice;
        }
        if (step == Step::Refused) {
            noPlace_ = true;
            co_return std::nullopt;
        }
        const std::size_t asked = full_.size() + requirements.full.size();
        if (!mayWait_ && !full_.empty() && asked >= MaxOwnersAsked) {
            auto queued = co_await queueAtBest(requirements);
            if (queued || noPlace_) {
                co_return queued;
            }
        }
    }
}

forward::ServerRequirements ServerSelection::requirements() const
{
    forward::ServerRequirements requirements;
    requirements.service = run_.service;
    requirements.prompt = run_.prompt();
    requirements.origin = run_.origin;
    requirements.tried = tried_;
    requirements.regions = run_.regions;
    requirements.takeParts = run_.movesParts;
    requirements.alone = run_.guard.isAlone();
    return requirements;
}

// A suspected server is none to change to: it may be as silent as this one.
bool ServerSelection::anotherIsUsable()
{
    forward::ServerTable &servers = run_.fleetView.servers();
    const kernel::Instant now = run_.context.now();
    forward::ServerRequirements others = requirements();
    others.tried.push_back(run_.choice.server.id);
    const auto other = servers.choose(others, now, run_.context.random);
    return other && !other->trial && (!admits() || servers.hasFreeSlot(other->server.id, now));
}

bool ServerSelection::isShort() const
{
    return admits() && run_.fleetView.shortServices().isShort(run_.service, run_.context.now());
}

void ServerSelection::begin(forward::ServerRequirements &requirements)
{
    mayWait_ = isShort();
    waitingAsks_ = MaxWaitingAsks;
    search_ = {};
    full_.clear();
    aboveBound_.reset();
    noPlace_ = false;
    run_.basis = {};
    if (requirements.prompt != nullptr) {
        return;
    }
    if (mayWait_) {
        requirements.order = identity();
    } else if (admits()) {
        requirements.anyHall =
                run_.fleetView.servers().drawAnyHall(run_.service, run_.context.random);
    }
}

// No server is left that could be asked.
asio::awaitable<std::optional<forward::Choice>>
ServerSelection::withoutChoice(forward::ServerRequirements &requirements)
{
    if (!full_.empty()) {
        std::optional<forward::Choice> queued;
        if (!mayWait_) {
            queued = co_await queueAtBest(requirements);
        }
        noPlace_ = !queued;
        co_return queued;
    }
    if (aboveBound_) {
        co_return aboveBound_;
    }
    noteNoServer(requirements);
    run_.lastMessage = requirements.barred.empty() ? run_.lastMessage : AllCold;
    co_return std::nullopt;
}

// Lets the owner with the least expected wait queue the request. Returns nothing with noPlace_
// unset if the owner gave no answer, so that one other server is asked.
asio::awaitable<std::optional<forward::Choice>>
ServerSelection::queueAtBest(forward::ServerRequirements &requirements)
{
    mayWait_ = true;
    forward::Choice best = std::ranges::min_element(full_, {}, &FullServer::expectedWait)->choice;
    const PlaceTerms offered = terms(requirements);
    if (offered.wait + offered.late <= 0s) {
        noPlace_ = true;
        co_return std::nullopt;
    }
    const std::size_t refusals = full_.size();
    const Step step = co_await admit(requirements, best);
    if (step == Step::Taken) {
        co_return best;
    }
    // A refusal by the owner is final, as the others had longer waits still.
    const bool refused = full_.size() > refusals && !full_.back().silent;
    noPlace_ = step == Step::Refused || refused;
    co_return std::nullopt;
}

void ServerSelection::noteNoServer(const forward::ServerRequirements &requirements)
{
    const kernel::Instant now = run_.context.now();
    allInBackoff_ = run_.fleetView.servers().allBackingOff(requirements, now);
    if (!allInBackoff_ && run_.fleetView.servers().limitedToSlots(requirements.service, now)) {
        run_.context.counters.add("held_to_places");
        run_.lastMessage = AllFull;
    }
}

// If neither the chosen engine nor any other is known to hold the prompt's parts, asks the box that
// keeps the index of them. Returns true if it named holders; the caller then chooses again.
asio::awaitable<bool> ServerSelection::learnHolders(forward::ServerRequirements &requirements,
                                                    const forward::Choice &choice)
{
    const bool wanted =
            requirements.prompt != nullptr && requirements.takeParts && !requirements.holdersAsked;
    if (!wanted || run_.fleetView.servers().sourceKnown(requirements, choice, run_.context.now())) {
        co_return false;
    }
    requirements.holdersAsked = true;
    PromptPartHolders found = co_await places_.findPartHolders(run_.call.prompt);
    std::ranges::move(found.holders, std::back_inserter(requirements.holders));
    requirements.firstPartHolders = std::move(found.beginners);
    co_return !requirements.holders.empty();
}

// A server that couldn't be reached may have been restarted. Only the first trial marks it as just
// started: otherwise each trial, even one refused because the server is cold, would keep it cold.
void ServerSelection::noteTrial(const forward::Choice &choice)
{
    forward::ColdStarts &starts = run_.fleetView.coldStarts();
    const kernel::Instant now = run_.context.now();
    if (choice.trial && !starts.startedWithin(choice.server.hash(), MinRestartInterval, now)) {
        starts.noteStarted(choice.server.hash(), now);
    }
}

asio::awaitable<ServerSelection::Step>
ServerSelection::takePlace(forward::ServerRequirements &requirements, forward::Choice &choice)
{
    if (search_.wasSilent(choice.server.id)) {
        // No better one is left, and a second ask would cost as much time again.
        co_return co_await use(requirements, choice);
    }
    if (admits() && (requirements.prompt != nullptr || mayWait_)) {
        co_return co_await admit(requirements, choice);
    }
    bool taken = false;
    if (requirements.prompt == nullptr) {
        taken = co_await takeColdSend(requirements, choice);
    } else {
        taken = co_await takePlaceByBound(requirements, choice);
    }
    co_return taken ? Step::Taken : Step::Next;
}

asio::awaitable<ServerSelection::Step>
ServerSelection::use(forward::ServerRequirements &requirements, forward::Choice &choice)
{
    if (requirements.prompt != nullptr) {
        co_await assignPartSource(requirements, choice);
    }
    co_return Step::Taken;
}

// The owner is asked even if this box considers the server warm, because it may know more. Returns
// false if another server has to be chosen; \a requirements then excludes this one.
asio::awaitable<bool> ServerSelection::takeColdSend(forward::ServerRequirements &requirements,
                                                    const forward::Choice &choice)
{
    bool granted = true;
    if (run_.fleetView.coldStarts().bounded(run_.service)) {
        forward::ListedServer asked = choice.server;
        granted = co_await places_.acquireColdSend(std::move(asked));
    }
    if (!granted) {
        excludeCold(requirements, choice.server.id);
    }
    co_return granted;
}

// Without admission control. Returns false if another server has to be chosen.
asio::awaitable<bool> ServerSelection::takePlaceByBound(forward::ServerRequirements &requirements,
                                                        forward::Choice &choice)
{
    forward::ListedServer asked = choice.server;
    const std::uint64_t partsKey = forward::sharedPartsKey(run_.call.prompt);
    PlaceOutcome outcome = co_await places_.acquire(std::move(asked), partsKey);
    run_.place = outcome.place;
    run_.basis = basisOf(outcome);
    std::ranges::move(outcome.holders, std::back_inserter(requirements.holders));
    if (outcome.cold) {
        excludeCold(requirements, choice.server.id);
        co_return false;
    }
    co_return co_await useOrPassOver(requirements, choice) == Step::Taken;
}

// With admission control: asks the owner of the chosen server for a place, and waits there if the
// request may.
asio::awaitable<ServerSelection::Step>
ServerSelection::admit(forward::ServerRequirements &requirements, forward::Choice &choice)
{
    forward::ListedServer asked = choice.server;
    PlaceTerms offered = terms(requirements);
    PlaceOutcome outcome = co_await places_.acquire(std::move(asked), std::move(offered));
    std::ranges::move(outcome.holders, std::back_inserter(requirements.holders));
    if (outcome.noPlace || outcome.queued) {
        run_.fleetView.shortServices().noteShort(run_.service, run_.context.now());
    }
    if (outcome.unanswered && outcome.place && !mayUseUnanswered(choice.server)) {
        places_.giveBack(*outcome.place, {.unused = true});
        outcome.place.reset();
        outcome.noPlace = true;
    }
    run_.place = outcome.place;
    run_.basis = basisOf(outcome);
    if (run_.stopped()) {
        co_return Step::Refused;
    }
    if (outcome.cold) {
        excludeCold(requirements, choice.server.id);
        co_return Step::Next;
    }
    if (outcome.noPlace) {
        co_return afterRefusal(requirements, choice, outcome);
    }
    co_return co_await useOrPassOver(requirements, choice);
}

// While the service is short, an unanswered ask comes this far only if this box itself knows of a
// free slot.
asio::awaitable<ServerSelection::Step>
ServerSelection::useOrPassOver(forward::ServerRequirements &requirements, forward::Choice &choice)
{
    const forward::OwnerSaid said = run_.basis.said;
    const bool knownFree = mayWait_ && said == forward::OwnerSaid::Nothing;
    if (!knownFree && !search_.mayUse(said, choice.server.id, requirements)) {
        co_return passOver(requirements, choice);
    }
    co_return co_await use(requirements, choice);
}

// While a service is short, a request whose owner doesn't answer is sent only where this box itself
// knows of a free slot.
bool ServerSelection::mayUseUnanswered(const forward::ListedServer &server) const
{
    return !isShort() || run_.fleetView.servers().hasFreeSlot(server.id, run_.context.now());
}

ServerSelection::Step ServerSelection::afterRefusal(forward::ServerRequirements &requirements,
                                                    const forward::Choice &choice,
                                                    const PlaceOutcome &outcome)
{
    logNoPlace(run_, choice.server.id, outcome);
    if (outcome.comeBack > 0s && !returnReserved_) {
        retryDelay_ = outcome.comeBack;
        returnReserved_ = mayWait_;
    }
    full_.push_back({choice, outcome.expectedWait, outcome.withdrawn || outcome.unanswered});
    requirements.tried.push_back(choice.server.id);
    requirements.spread = false;
    if (mayWait_ && --waitingAsks_ == 0) {
        return Step::Refused;
    }
    return Step::Next;
}

// Another server is to be chosen: this one is above the load bound, or its owner doesn't answer.
ServerSelection::Step ServerSelection::passOver(forward::ServerRequirements &requirements,
                                                const forward::Choice &choice)
{
    if (run_.place) {
        // The owner may count the place without its answer having arrived.
        places_.giveBack(*run_.place, {.unused = true});
        run_.place.reset();
    }
    if (requirements.spread && mayWait_ && !full_.empty()) {
        return Step::Refused;
    }
    requirements.spread = requirements.spread && full_.empty();
    if (requirements.prompt == nullptr) {
        requirements.tried.push_back(choice.server.id);
        aboveBound_ = choice;
    }
    return Step::Next;
}

PlaceTerms ServerSelection::terms(const forward::ServerRequirements &requirements)
{
    PlaceTerms terms;
    if (requirements.prompt != nullptr) {
        terms.partsKey = forward::sharedPartsKey(run_.call.prompt);
    }
    terms.priority = run_.priority.value_or(0);
    terms.organisation = run_.organisation.empty() ? 0 : kernel::hashOf(run_.organisation);
    // One owner at most expects the caller's return, since the caller returns once.
    terms.identity = returnReserved_ ? 0 : identity();
    terms.lease = std::max<kernel::Duration>(run_.left(), 0s) + LeaseMargin;
    if (!mayWait_) {
        terms.askDeputy = !requirements.spread;
        return terms;
    }
    constexpr kernel::Duration None{};
    const kernel::Duration elapsed = run_.context.now() - run_.began;
    const kernel::Duration usual = run_.fleetView.answerTimes().usual(run_.service);
    const kernel::Duration whole = run_.deadline - run_.began;
    // The objective counts from the caller's first try.
    const kernel::Duration objective = run_.route.objective - run_.sinceFirstTry;
    terms.wait = std::max(None, std::min(objective, whole) - elapsed - usual);
    // A caller that is refused by then still has as long again to try elsewhere.
    const kernel::Duration half = whole / 2;
    terms.late = std::max(None, half - elapsed - terms.wait);
    if (run_.route.stream) {
        // Callers of streams leave when no event comes for a few objectives; one of them is well
        // within that.
        terms.late = std::min(terms.late, run_.route.objective);
    }
    terms.onWait = [interrupt = run_.interrupt](std::function<void()> end) {
        interrupt->endWait = std::move(end);
        if (interrupt->endWait && interrupt->reason != Interruption::None) {
            interrupt->endWait();
        }
    };
    return terms;
}

std::uint64_t ServerSelection::identity()
{
    if (!identity_) {
        std::string parts;
        for (const std::string_view part : std::initializer_list<std::string_view>{
                     run_.organisation, run_.request.method, run_.call.host, run_.request.target,
                     run_.request.body}) {
            parts += part;
            parts += '\0';
        }
        identity_ = kernel::hashOf(parts);
    }
    return *identity_;
}

// After several cold servers that accept no more requests, excludes all cold ones: each further
// query would cost a message and time.
void ServerSelection::excludeCold(forward::ServerRequirements &requirements, const std::string &id)
{
    requirements.barred.push_back(id);
    if (requirements.barred.size() < MaxOwnersAsked) {
        return;
    }
    const kernel::Instant now = run_.context.now();
    run_.fleetView.servers().forEach([&](const forward::ListedServer &server) {
        if (run_.fleetView.coldStarts().state(server, now).cold()) {
            requirements.barred.push_back(server.id);
        }
    });
}

// The server is chosen. Determines from the owners' answers which engine it copies the prompt's
// parts from, and reports the parts' new location for later requests.
asio::awaitable<void> ServerSelection::assignPartSource(forward::ServerRequirements &requirements,
                                                        forward::Choice &choice)
{
    forward::ServerTable &servers = run_.fleetView.servers();
    servers.updateSource(requirements, choice, run_.context.now());
    const bool learned = co_await learnHolders(requirements, choice);
    if (learned) {
        servers.updateSource(requirements, choice, run_.context.now());
    }
    const auto first = servers.preferredServer(requirements);
    if (first && first->id != choice.server.id) {
        places_.reportHolder(*first, choice.server, forward::sharedPartsKey(run_.call.prompt));
    }
    if (choice.held < forward::sharedPrefixes(run_.call.prompt).size()) {
        places_.reportParts(run_.call.prompt, choice.server);
    }
}

} // namespace limereel::gateway
