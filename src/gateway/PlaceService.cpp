#include "gateway/PlaceService.h"

#include "membership/Ownership.h"
#include "services/PeerService.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cmath>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr kernel::Duration SweepInterval = 1s;
constexpr int MaxSilences = 2; ///< After these, another box is considered the owner.

std::uint32_t thousandths(double perSecond)
{
    constexpr double Parts = 1000;
    constexpr double Most = 4e9;
    return static_cast<std::uint32_t>(std::clamp(perSecond * Parts, 0.0, Most));
}

} // namespace

PlaceService::PlaceService(services::Context &context, FleetView &fleetView)
    : context_(context)
    , fleetView_(fleetView)
    , owner_(context, fleetView)
{
}

void PlaceService::start()
{
    context_.kernel.find<services::PeerService>("peer").onMessage(
            [this](const peer::Message &message, const kernel::Endpoint &from) {
                receive(message, from);
            });
    sweep_ = std::make_unique<services::PeriodicTask>(
            context_.io, [this]() -> asio::awaitable<kernel::Duration> {
                owner_.sweep();
                const auto &members =
                        context_.kernel.find<services::MembershipService>("membership");
                fleetView_.budget().setBoxes(fleet_.note(members.owners().size(), context_.now()));
                co_return kernel::Duration(SweepInterval);
            });
}

void PlaceService::stop()
{
    sweep_.reset();
}

peer::AskPermit PlaceService::askOf(const forward::ListedServer &server, peer::AskKind kind) const
{
    const forward::ColdState cold = fleetView_.coldStarts().state(server, context_.now());
    peer::AskPermit ask;
    ask.kind = kind;
    ask.request = context_.random();
    ask.router = context_.kernel.find<services::MembershipService>("membership").self();
    ask.resource = server.hash();
    ask.organisation = kernel::hashOf(server.service);
    ask.coldMs = static_cast<std::uint32_t>(cold.left / 1ms);
    ask.coldPerSecond = cold.cold() ? thousandths(cold.perSecond) : 0;
    return ask;
}

// Asks the owner of the requested resource, which may be this box.
asio::awaitable<std::optional<peer::PermitAnswer>> PlaceService::askOwnerOf(peer::AskPermit ask)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    const auto owner = membership::ownerOf(ask.resource, members.owners());
    if (!owner) {
        co_return std::nullopt;
    }
    if (*owner == members.self()) {
        co_return owner_.decide(ask);
    }
    const std::uint64_t asked = *owner;
    co_return co_await askOwner(asked, ask);
}

asio::awaitable<bool> PlaceService::acquireColdSend(forward::ListedServer server)
{
    peer::AskPermit ask = askOf(server, peer::AskKind::Start);
    const auto answer = co_await askOwnerOf(ask);
    const bool granted =
            answer ? answer->result == peer::PermitResult::Granted : owner_.grantStartAlone(server);
    context_.counters.add("cold_starts", {{"result", granted ? "granted" : "refused"},
                                          {"by", answer ? "owner" : "share"}});
    co_return granted;
}

asio::awaitable<PlaceOutcome> PlaceService::acquire(forward::ListedServer server,
                                                    std::uint64_t partsKey)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    peer::AskPermit ask = askOf(server, peer::AskKind::Engine);
    ask.chat = partsKey;
    ask.load = fleetView_.servers().ownLoad(server.service);
    ask.asks = countAsk(server.service);
    const auto owner = membership::ownerOf(ask.resource, members.owners());
    PlaceOutcome outcome;
    outcome.place = Place{ask.request, ask.resource, 0, owner.value_or(0)};
    const auto answer = co_await askOwnerOf(ask);
    if (!answer) {
        context_.counters.add("places", {{"result", "no-answer"}});
        outcome.cold = !owner_.grantStartAlone(server);
        if (outcome.cold) {
            // The owner may have granted the place and only its answer may have been lost.
            giveBack(*outcome.place);
            outcome.place.reset();
        }
    } else {
        applyAnswer(server, *answer, outcome);
    }
    co_return outcome;
}

void PlaceService::applyAnswer(const forward::ListedServer &server,
                               const peer::PermitAnswer &answer, PlaceOutcome &outcome)
{
    const kernel::Instant now = context_.now();
    const bool granted = answer.result == peer::PermitResult::Granted;
    const std::uint32_t ownRequests = fleetView_.servers().ownLoadAt(server.id) + (granted ? 1 : 0);
    const std::uint32_t load = answer.load;
    fleetView_.servers().setOthers(server.id, load > ownRequests ? load - ownRequests : 0, now);
    outcome.cold = answer.result == peer::PermitResult::Cold;
    const char *refused = outcome.cold ? "cold" : "full";
    context_.counters.add("places", {{"result", granted ? "granted" : refused}});
    for (const peer::Suggestion &suggestion : answer.suggestions) {
        outcome.holders.push_back(suggestion.engine);
    }
    outcome.place->owner = outcome.place->asked;
    if (!granted) {
        outcome.place.reset();
    }
}

void PlaceService::reportHolder(const forward::ListedServer &first,
                                const forward::ListedServer &server, std::uint64_t partsKey)
{
    reportToKeyOwner(first.hash(), partsKey, server);
}

asio::awaitable<PromptPartHolders> PlaceService::findPartHolders(const forward::Prompt &prompt)
{
    const std::vector<std::uint64_t> keys = forward::sharedPrefixes(prompt);
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    PromptPartHolders found;
    if (keys.empty()) {
        co_return found;
    }
    peer::AskPermit ask;
    ask.kind = peer::AskKind::Holders;
    ask.request = context_.random();
    ask.router = members.self();
    ask.chat = keys.back();
    ask.resource = keys.front();
    const auto answer = co_await askOwnerOf(ask);
    context_.counters.add("parts_asked", {{"result", answer ? "answered" : "no-answer"}});
    if (answer) {
        for (const peer::Suggestion &suggestion : answer->suggestions) {
            auto &engines = suggestion.reason == HoldsAllParts ? found.holders : found.beginners;
            engines.push_back(suggestion.engine);
        }
    }
    co_return found;
}

void PlaceService::reportParts(const forward::Prompt &prompt, const forward::ListedServer &server)
{
    const std::vector<std::uint64_t> keys = forward::sharedPrefixes(prompt);
    if (keys.empty()) {
        return;
    }
    reportToKeyOwner(keys.front(), keys.back(), server);
    if (keys.size() > 1) {
        reportToKeyOwner(keys.front(), keys.front(), server);
    }
}

void PlaceService::reportToKeyOwner(std::uint64_t home, std::uint64_t partsKey,
                                    const forward::ListedServer &server)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    const membership::ShortHash engine = membership::shortHash(server.hash());
    const auto owner = membership::ownerOf(home, members.owners());
    if (!owner) {
        return;
    }
    if (*owner == members.self()) {
        owner_.noteHolder(partsKey, engine);
    } else if (const auto address = members.addressOf(*owner)) {
        peer::Placed placed;
        placed.chat = partsKey;
        placed.home = home;
        placed.engine = engine;
        context_.kernel.find<services::PeerService>("peer").send(*address, placed);
    }
}

asio::awaitable<std::optional<peer::PermitAnswer>> PlaceService::askOwner(std::uint64_t owner,
                                                                          peer::AskPermit ask)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    const auto address = members.addressOf(owner);
    if (!address) {
        co_return std::nullopt;
    }
    auto pending = std::make_shared<Pending>(
            Pending{asio::steady_timer(context_.io, context_.settings.askTimeout), std::nullopt});
    pending_[ask.request] = pending;
    auto &peer = context_.kernel.find<services::PeerService>("peer");
    peer.send(*address, ask);
    co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!pending->answer) {
        std::function<bool()> answered = [pending] { return pending->answer.has_value(); };
        co_await peer.readPending(std::move(answered));
        context_.counters.add("waits_rescued", {{"what", "place"}}, pending->answer ? 1 : 0);
    }
    pending_.erase(ask.request);
    if (pending->answer) {
        silences_.erase(owner);
    } else {
        noteSilent(owner);
    }
    co_return pending->answer;
}

std::uint32_t PlaceService::countAsk(const std::string &service)
{
    const auto count = asks_.try_emplace(service, forward::PlacePolicy{}.reportMaxAge).first;
    return static_cast<std::uint32_t>(std::lround(count->second.add(context_.now())));
}

void PlaceService::noteSilent(std::uint64_t owner)
{
    if (++silences_[owner] >= MaxSilences) {
        silences_.erase(owner);
        context_.kernel.find<services::MembershipService>("membership").noteUnreachable(owner);
    }
}

void PlaceService::giveBack(const Place &place)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    if (place.asked == members.self()) {
        owner_.giveBack(place.engine, place.request);
    } else if (const auto address = members.addressOf(place.asked); place.asked != 0 && address) {
        context_.kernel.find<services::PeerService>("peer").send(
                *address, peer::GiveBack{place.request, place.engine, peer::Observed::Served});
    }
}

void PlaceService::receive(const peer::Message &message, const kernel::Endpoint &from)
{
    if (const auto *const ask = std::get_if<peer::AskPermit>(&message)) {
        context_.kernel.find<services::PeerService>("peer").send(from, owner_.decide(*ask));
    } else if (const auto *const placed = std::get_if<peer::Placed>(&message)) {
        owner_.noteHolder(placed->chat, placed->engine);
    } else if (const auto *const back = std::get_if<peer::GiveBack>(&message)) {
        owner_.giveBack(back->resource, back->request);
    } else if (const auto *const answer = std::get_if<peer::PermitAnswer>(&message)) {
        const auto waiting = pending_.find(answer->request);
        if (waiting != pending_.end()) {
            waiting->second->answer = *answer;
            waiting->second->timer.cancel();
        }
    }
}

} // namespace limereel::gateway
