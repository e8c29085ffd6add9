#include "gateway/PlaceService.h"

#include "gateway/FleetSight.h"
#include "gateway/MessageUnits.h"
#include "kernel/Log.h"
#include "membership/Ownership.h"
#include "services/PeerService.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cmath>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr kernel::Duration SweepInterval = 1s;
// Told to callers at a planned stop. Another box can take the request at once.
constexpr kernel::Duration StopRetryDelay = 50ms;
// More than a fleet whose settings list no halls has.
constexpr std::size_t GuessedBoxes = 32;

const kernel::Log &log()
{
    static const kernel::Log Log("places");
    return Log;
}

forward::FleetSharePolicy retrySharePolicy(const kernel::BoxSettings &settings)
{
    forward::FleetSharePolicy policy;
    policy.window = settings.gateway.retryWindow;
    policy.guess = settings.gateway.hallRegions.empty() ? GuessedBoxes : 0;
    policy.rememberedFor = std::max(policy.rememberedFor, 2 * policy.window);
    return policy;
}

} // namespace

PlaceService::PlaceService(services::Context &context, FleetView &fleetView)
    : context_(context)
    , fleetView_(fleetView)
    , owner_(context, fleetView,
             [this](const peer::PermitAnswer &answer, const std::optional<kernel::Endpoint> &to) {
                 if (to) {
                     context_.kernel.find<services::PeerService>("peer").send(*to, answer);
                 } else {
                     asks_.receive(answer);
                 }
             })
    , asks_(context, owner_)
    , retryShare_(retrySharePolicy(context.settings))
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
                shareRetryBudget();
                owner_.sweep();
                asks_.expire();
                co_return kernel::Duration(SweepInterval);
            });
}

void PlaceService::stop()
{
    sweep_.reset();
    owner_.stop();
}

void PlaceService::beginLeaving()
{
    owner_.beginLeaving();
    asks_.beginLeaving();
}

void PlaceService::giveBack(const Place &place, const PlaceUse &use)
{
    asks_.giveBack(place, use);
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

peer::AskPermit PlaceService::placeAskFor(const forward::ListedServer &server,
                                          std::uint64_t partsKey)
{
    peer::AskPermit ask = askOf(server, peer::AskKind::Engine);
    ask.chat = partsKey;
    ask.load = fleetView_.servers().ownLoad(server.service);
    ask.asks = countAsk(server.service);
    return ask;
}

asio::awaitable<bool> PlaceService::acquireColdSend(forward::ListedServer server)
{
    peer::AskPermit ask = askOf(server, peer::AskKind::Start);
    const AskResult result = co_await asks_.ask(ask);
    const auto &answer = result.answer;
    const bool granted =
            answer ? answer->result == peer::PermitResult::Granted : owner_.grantStartAlone(server);
    context_.counters.add("cold_starts", {{"result", granted ? "granted" : "refused"},
                                          {"by", answer ? "owner" : "share"}});
    co_return granted;
}

asio::awaitable<PlaceOutcome> PlaceService::acquire(forward::ListedServer server,
                                                    std::uint64_t partsKey)
{
    peer::AskPermit ask = placeAskFor(server, partsKey);
    AskResult result = co_await asks_.ask(ask);
    co_return outcomeOf(server, result);
}

asio::awaitable<PlaceOutcome> PlaceService::acquire(forward::ListedServer server, PlaceTerms terms)
{
    peer::AskPermit ask = placeAskFor(server, terms.partsKey);
    ask.waitMs = milliseconds(terms.wait);
    ask.lateMs = milliseconds(terms.late);
    ask.priority = terms.priority;
    ask.caller = terms.organisation;
    ask.identity = terms.identity;
    ask.slots = std::max(1U, server.slots);
    ask.leaseMs = milliseconds(terms.lease);
    ask.seen = static_cast<std::uint32_t>(
            std::lround(fleetView_.servers().load(server.id, context_.now())));
    AskResult result = co_await asks_.askAndWait(ask, std::move(terms.onWait));
    if (!result.answer && terms.askDeputy) {
        // The owner may grant it all the same, later.
        giveBack(result.place, {.unused = true});
        ask.request = context_.random();
        result = co_await asks_.askAndWait(ask, {}, result.place.asked);
        context_.counters.add("deputies_asked",
                              {{"result", result.answer ? "answered" : "no-answer"}});
    }
    co_return outcomeOf(server, result);
}

PlaceOutcome PlaceService::outcomeOf(const forward::ListedServer &server, const AskResult &result)
{
    PlaceOutcome outcome;
    outcome.place = result.place;
    outcome.asked = result.place.asked;
    outcome.queued = result.queued;
    outcome.withdrawn = result.withdrawn();
    if (!result.answer) {
        context_.counters.add("places", {{"result", "no-answer"}});
        outcome.unanswered = true;
        outcome.cold = !owner_.grantStartAlone(server);
        if (outcome.cold) {
            // The owner may have granted the place and only its answer may have been lost.
            giveBack(*outcome.place, {.unused = true});
            outcome.place.reset();
        }
    } else {
        applyAnswer(server, *result.answer, outcome);
        outcome.answeredAt = context_.now();
    }
    if (outcome.withdrawn) {
        outcome.noPlace = true;
        outcome.comeBack = result.stopping ? StopRetryDelay : kernel::Duration(0);
        context_.counters.add("places", {{"result", "withdrawn"}});
    }
    return outcome;
}

void PlaceService::applyAnswer(const forward::ListedServer &server,
                               const peer::PermitAnswer &answer, PlaceOutcome &outcome)
{
    const kernel::Instant now = context_.now();
    const bool granted = answer.result == peer::PermitResult::Granted;
    const std::uint32_t ownRequests = fleetView_.servers().ownLoadAt(server.id) + (granted ? 1 : 0);
    const std::uint32_t load = answer.load;
    outcome.load = load;
    outcome.limit = answer.limit;
    outcome.expectedWait = std::chrono::milliseconds(answer.waitMs);
    outcome.comeBack = std::chrono::milliseconds(answer.comeBackMs);
    fleetView_.servers().setOthers(server.id, load > ownRequests ? load - ownRequests : 0, now);
    outcome.cold = answer.result == peer::PermitResult::Cold;
    outcome.noPlace = answer.result == peer::PermitResult::Full && answer.comeBackMs > 0;
    const char *refused = outcome.cold ? "cold" : outcome.noPlace ? "no-place" : "full";
    if (answer.result != peer::PermitResult::Queued) {
        context_.counters.add("places", {{"result", granted ? "granted" : refused}});
    }
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
    const AskResult result = co_await asks_.ask(ask);
    const auto &answer = result.answer;
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

std::uint32_t PlaceService::countAsk(const std::string &service)
{
    const auto count = recentAsks_.try_emplace(service, forward::PlacePolicy{}.reportMaxAge).first;
    return static_cast<std::uint32_t>(std::lround(count->second.add(context_.now())));
}

void PlaceService::shareRetryBudget()
{
    const std::size_t boxesBefore = retryShare_.boxes();
    const forward::FleetKnowledge knowledgeBefore = retryShare_.knowledge();
    const forward::FleetSight sight = fleetSight(context_);
    retryShare_.note(sight, context_.now());
    fleetView_.budget().setParts(retryShare_.part(), retryShare_.ratioPart());
    context_.counters.set("retry_budget_boxes", static_cast<double>(retryShare_.boxes()));
    context_.counters.set("retry_budget_part", retryShare_.part());
    if (retryShare_.boxes() == boxesBefore && retryShare_.knowledge() == knowledgeBefore) {
        return;
    }
    log().event("retry-share",
                {{"boxes", retryShare_.boxes()},
                 {"seen", sight.boxes},
                 {"whole", sight.whole},
                 {"knowledge", text(retryShare_.knowledge())},
                 {"part", retryShare_.part()}},
                "The number of boxes that share the retry budget has changed.");
}

void PlaceService::receive(const peer::Message &message, const kernel::Endpoint &from)
{
    if (const auto *const ask = std::get_if<peer::AskPermit>(&message)) {
        context_.kernel.find<services::PeerService>("peer").send(from, owner_.decide(*ask, from));
        owner_.settle();
    } else if (const auto *const placed = std::get_if<peer::Placed>(&message)) {
        owner_.noteHolder(placed->chat, placed->engine);
    } else if (const auto *const back = std::get_if<peer::GiveBack>(&message)) {
        owner_.giveBack({.request = back->request,
                         .engine = back->resource,
                         .unused = back->observed == peer::Observed::Unused,
                         .rejected = back->rejected});
    } else if (const auto *const answer = std::get_if<peer::PermitAnswer>(&message)) {
        asks_.receive(*answer);
    }
}

} // namespace limereel::gateway
