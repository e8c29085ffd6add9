#include "gateway/ServerSelection.h"

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxOwnersAsked = 3; ///< Owners that are asked for a place.
// Shortest time between two restarts that are assumed of one server; longer than any is cold.
constexpr kernel::Duration MinRestartInterval = 20s;
constexpr const char *AllCold = "all backend servers that could run it have just started and have "
                                "been sent as many requests as they bear";
constexpr const char *AllFull =
        "all backend servers that could run it have as many requests as they have places";

} // namespace

// An engine has a limited number of slots, so the owner of the chosen engine has to grant a place.
// After several full engines another one is used without a place, since waiting here wouldn't help.
// A cold server is never used without permission, because too many requests would overload it.
asio::awaitable<std::optional<forward::Choice>> ServerSelection::choose()
{
    forward::ServerRequirements requirements;
    requirements.service = run_.service;
    requirements.prompt = run_.prompt();
    requirements.tried = tried_;
    requirements.regions = run_.regions;
    requirements.takeParts = run_.movesParts;
    requirements.alone = run_.guard.isAlone();
    while (true) {
        auto choice = run_.fleetView.servers().choose(requirements, run_.context.now(),
                                                      run_.context.random);
        if (!choice) {
            noteNoServer(requirements);
            run_.lastMessage = requirements.barred.empty() ? run_.lastMessage : AllCold;
            co_return choice;
        }
        const bool learned = co_await learnHolders(requirements, *choice);
        if (learned) {
            continue;
        }
        noteTrial(*choice);
        const bool taken = co_await takePlace(requirements, *choice);
        if (taken) {
            co_return choice;
        }
    }
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

// Returns false if another server has to be chosen; \a requirements then excludes this one.
asio::awaitable<bool> ServerSelection::takePlace(forward::ServerRequirements &requirements,
                                                 forward::Choice &choice)
{
    forward::ListedServer asked = choice.server;
    if (requirements.prompt == nullptr) {
        // The owner is asked even if this box considers the server warm, because it may know more.
        bool granted = true;
        if (run_.fleetView.coldStarts().bounded(run_.service)) {
            granted = co_await places_.acquireColdSend(std::move(asked));
        }
        if (!granted) {
            excludeCold(requirements, choice.server.id);
        }
        co_return granted;
    }
    const std::uint64_t partsKey = forward::sharedPartsKey(run_.call.prompt);
    PlaceOutcome outcome = co_await places_.acquire(std::move(asked), partsKey);
    run_.place = outcome.place;
    std::ranges::move(outcome.holders, std::back_inserter(requirements.holders));
    if (outcome.cold) {
        excludeCold(requirements, choice.server.id);
        co_return false;
    }
    if (run_.place || requirements.spread) {
        co_await assignPartSource(requirements, choice);
        co_return true;
    }
    requirements.full.push_back(choice.server.id);
    requirements.spread = requirements.full.size() >= MaxOwnersAsked;
    co_return false;
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
