#include "gateway/PlaceService.h"

#include "membership/Ownership.h"
#include "services/PeerService.h"

#include <boost/asio.hpp>
#include <cmath>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr kernel::Duration SweepEvery = 1s;
constexpr int MostSilences = 2; ///< Then another box is taken for the owner.
// Reasons of suggestions: what the engine holds.
constexpr std::uint8_t AllParts = 0;
constexpr std::uint8_t FirstPart = 1;

forward::PlacePolicy policyOf(const kernel::BoxSettings &settings)
{
    forward::PlacePolicy policy;
    policy.loadMultiple = settings.gateway.loadMultiple;
    return policy;
}

forward::PlaceAsk placeAskOf(const peer::AskPermit &ask)
{
    return {.request = ask.request,
            .engine = ask.resource,
            .service = ask.organisation,
            .box = ask.router,
            .boxLoad = ask.load,
            .boxAsks = static_cast<double>(ask.asks)};
}

} // namespace

PlaceService::PlaceService(services::Context &context, World &world)
    : context_(context)
    , world_(world)
    , ledger_(policyOf(context.settings))
{
}

void PlaceService::start()
{
    context_.kernel.find<services::PeerService>("peer").onMessage(
            [this](const peer::Message &message, const kernel::Endpoint &from) {
                receive(message, from);
            });
    sweep_ = std::make_unique<services::Repeat>(
            context_.io, [this]() -> asio::awaitable<kernel::Duration> {
                ledger_.expire(context_.now());
                holders_.expire(context_.now());
                const auto &members =
                        context_.kernel.find<services::MembershipService>("membership");
                world_.budget().setBoxes(fleet_.note(members.owners().size(), context_.now()));
                co_return kernel::Duration(SweepEvery);
            });
}

void PlaceService::stop()
{
    sweep_.reset();
}

forward::FleetSize PlaceService::fleetFor(std::uint64_t engine) const
{
    const auto &members = context_.kernel.find<services::MembershipService>("membership");
    return {std::max<std::size_t>(members.owners().size(), 1),
            std::max<std::size_t>(world_.servers().serversBeside(engine), 1)};
}

peer::PermitAnswer PlaceService::nameHolders(const peer::AskPermit &ask) const
{
    const kernel::Instant now = context_.now();
    peer::PermitAnswer reply;
    reply.request = ask.request;
    reply.result = peer::PermitResult::Redirected;
    for (const membership::ShortHash engine : holders_.holders(ask.chat, now)) {
        reply.suggestions.push_back({engine, AllParts});
    }
    if (reply.suggestions.empty()) {
        for (const membership::ShortHash engine : holders_.holders(ask.resource, now)) {
            reply.suggestions.push_back({engine, FirstPart});
        }
    }
    return reply;
}

// The decision of the owner, for another box as for itself.
peer::PermitAnswer PlaceService::decide(const peer::AskPermit &ask)
{
    if (ask.kind == peer::AskKind::Holders) {
        return nameHolders(ask);
    }
    const kernel::Instant now = context_.now();
    const auto answer = ledger_.ask(placeAskOf(ask), fleetFor(ask.resource), now);
    peer::PermitAnswer reply;
    reply.request = ask.request;
    reply.result = answer.granted ? peer::PermitResult::Granted : peer::PermitResult::Full;
    reply.load = answer.load;
    if (ask.chat != 0) {
        for (const membership::ShortHash engine : holders_.holders(ask.chat, now)) {
            reply.suggestions.push_back({engine, 0});
        }
    }
    if (ask.chat != 0 && answer.granted) {
        holders_.note(ask.chat, membership::shortHash(ask.resource), now);
    }
    return reply;
}

asio::awaitable<PlaceOutcome> PlaceService::take(forward::ListedServer server,
                                                 std::uint64_t partsKey)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    Place place;
    place.request = context_.random();
    place.engine = kernel::hashOf(server.id);
    const auto owner = membership::ownerOf(place.engine, members.owners());
    peer::AskPermit ask;
    ask.kind = peer::AskKind::Engine;
    ask.request = place.request;
    ask.router = members.self();
    ask.resource = place.engine;
    ask.organisation = kernel::hashOf(server.service);
    ask.chat = partsKey;
    ask.load = world_.servers().ownLoad(server.service);
    ask.asks = countAsk(server.service);
    place.asked = owner.value_or(0);
    PlaceOutcome outcome;
    outcome.place = place;
    if (!owner) {
        co_return outcome;
    }
    std::optional<peer::PermitAnswer> answer;
    if (*owner == members.self()) {
        answer = decide(ask);
    } else {
        const std::uint64_t asked = *owner;
        answer = co_await askOwner(asked, ask);
    }
    if (!answer) {
        context_.counters.add("places", {{"result", "no-answer"}});
        co_return outcome;
    }
    const bool granted = answer->result == peer::PermitResult::Granted;
    const std::uint32_t mine = world_.servers().ownLoadAt(server.id) + (granted ? 1 : 0);
    const std::uint32_t load = answer->load;
    world_.servers().setOthers(server.id, load > mine ? load - mine : 0, context_.now());
    context_.counters.add("places", {{"result", granted ? "granted" : "full"}});
    for (const peer::Suggestion &suggestion : answer->suggestions) {
        outcome.holders.push_back(suggestion.engine);
    }
    outcome.place->owner = *owner;
    if (!granted) {
        outcome.place.reset();
    }
    co_return outcome;
}

void PlaceService::tellHolder(const forward::ListedServer &first,
                              const forward::ListedServer &server, std::uint64_t partsKey)
{
    tellKeyOwner(kernel::hashOf(first.id), partsKey, server);
}

asio::awaitable<PartsWord> PlaceService::askForParts(const forward::Prompt &prompt)
{
    const std::vector<std::uint64_t> keys = forward::sharedPrefixes(prompt);
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    PartsWord word;
    const auto owner =
            keys.empty() ? std::nullopt : membership::ownerOf(keys.front(), members.owners());
    if (!owner) {
        co_return word;
    }
    peer::AskPermit ask;
    ask.kind = peer::AskKind::Holders;
    ask.request = context_.random();
    ask.router = members.self();
    ask.chat = keys.back();
    ask.resource = keys.front();
    std::optional<peer::PermitAnswer> answer;
    if (*owner == members.self()) {
        answer = decide(ask);
    } else {
        const std::uint64_t asked = *owner;
        answer = co_await askOwner(asked, ask);
    }
    context_.counters.add("parts_asked", {{"result", answer ? "answered" : "no-answer"}});
    if (answer) {
        for (const peer::Suggestion &suggestion : answer->suggestions) {
            auto &engines = suggestion.reason == AllParts ? word.holders : word.beginners;
            engines.push_back(suggestion.engine);
        }
    }
    co_return word;
}

void PlaceService::tellParts(const forward::Prompt &prompt, const forward::ListedServer &server)
{
    const std::vector<std::uint64_t> keys = forward::sharedPrefixes(prompt);
    if (keys.empty()) {
        return;
    }
    tellKeyOwner(keys.front(), keys.back(), server);
    if (keys.size() > 1) {
        tellKeyOwner(keys.front(), keys.front(), server);
    }
}

void PlaceService::tellKeyOwner(std::uint64_t home, std::uint64_t partsKey,
                                const forward::ListedServer &server)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    const membership::ShortHash engine = membership::shortHash(kernel::hashOf(server.id));
    const auto owner = membership::ownerOf(home, members.owners());
    if (!owner) {
        return;
    }
    if (*owner == members.self()) {
        holders_.note(partsKey, engine, context_.now());
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
        co_await peer.readWaiting(std::move(answered));
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
    const auto count = asks_.try_emplace(service, forward::PlacePolicy{}.wordAge).first;
    return static_cast<std::uint32_t>(std::lround(count->second.add(context_.now())));
}

void PlaceService::noteSilent(std::uint64_t owner)
{
    if (++silences_[owner] >= MostSilences) {
        silences_.erase(owner);
        context_.kernel.find<services::MembershipService>("membership").noteUnreachable(owner);
    }
}

void PlaceService::giveBack(const Place &place)
{
    auto &members = context_.kernel.find<services::MembershipService>("membership");
    if (place.asked == members.self()) {
        ledger_.giveBack(place.engine, place.request);
    } else if (const auto address = members.addressOf(place.asked); place.asked != 0 && address) {
        context_.kernel.find<services::PeerService>("peer").send(
                *address, peer::GiveBack{place.request, place.engine, peer::Observed::Served});
    }
}

void PlaceService::receive(const peer::Message &message, const kernel::Endpoint &from)
{
    if (const auto *const ask = std::get_if<peer::AskPermit>(&message)) {
        context_.kernel.find<services::PeerService>("peer").send(from, decide(*ask));
    } else if (const auto *const placed = std::get_if<peer::Placed>(&message)) {
        holders_.note(placed->chat, placed->engine, context_.now());
    } else if (const auto *const back = std::get_if<peer::GiveBack>(&message)) {
        ledger_.giveBack(back->resource, back->request);
    } else if (const auto *const answer = std::get_if<peer::PermitAnswer>(&message)) {
        const auto waiting = pending_.find(answer->request);
        if (waiting != pending_.end()) {
            waiting->second->answer = *answer;
            waiting->second->timer.cancel();
        }
    }
}

} // namespace limereel::gateway
