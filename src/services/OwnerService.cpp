#include "services/OwnerService.h"

#include "membership/Ownership.h"
#include "routing/LoadBound.h"
#include "services/ConfigService.h"
#include "services/DirectoryService.h"
#include "services/MembershipService.h"
#include "services/PeerService.h"

#include <algorithm>
#include <bit>

namespace limereel::services {

using membership::shortHash;
using membership::ShortHash;
using peer::AskKind;
using peer::AskPermit;
using peer::PermitAnswer;
using peer::PermitResult;
using routing::GrantResult;

namespace {

// With the default of five candidates, these, the chat's last engine and the two least loaded
// engines of the pool are all asked.
constexpr std::size_t MaxChoices = 8;
constexpr std::size_t BoxesInOrder =
        2; ///< Boxes that may answer for a resource: its owner and the next in order.

PermitResult resultOf(GrantResult result)
{
    switch (result) {
    case GrantResult::Granted:
        return PermitResult::Granted;
    case GrantResult::Full:
        return PermitResult::Full;
    case GrantResult::Unfair:
        return PermitResult::Unfair;
    case GrantResult::Leaving:
        break;
    }
    return PermitResult::Leaving;
}

const char *text(PermitResult result)
{
    constexpr std::array<const char *, 6> Names = {"granted", "redirected", "full",
                                                   "unfair",  "leaving",    "not-owner"};
    return Names.at(static_cast<std::size_t>(result));
}

routing::PermitRequest ledgerAsk(const AskPermit &ask)
{
    return {.request = ask.request, .router = ask.router, .organisation = ask.organisation};
}

} // namespace

OwnerService::OwnerService(Context &context)
    : context_(context)
    , policy_{.lease = context.settings.permitLease, .settle = context.settings.settle}
    , awake_(context.settings.heartbeatPeriod)
    , backends_(context, policy_, [this] { viewStale_ = true; })
    , quotas_(policy_)
    , chats_(context.settings.chatIndex)
    , drain_(context.now())
    , loads_(context.settings.heartbeatPeriod)
{
}

void OwnerService::start()
{
    auto &membership = context_.kernel.find<MembershipService>("membership");
    membership.beforeHeartbeat(
            [this](membership::BoxState &state) { state.backends = backends_.states(); });
    membership.afterHeartbeat([this] { onHeartbeat(); });
    backends_.start();
}

void OwnerService::stop()
{
    backends_.stop();
}

PermitAnswer OwnerService::decide(const AskPermit &ask)
{
    const std::uint64_t self = context_.settings.box.hash();
    if (ask.kind != AskKind::Quota && ask.router != self) {
        noteLoad(ask.router, ask.model, ask.load);
    }
    PermitAnswer answer;
    switch (ask.kind) {
    case AskKind::Home:
        answer = decideHome(ask);
        break;
    case AskKind::Engine:
        answer = decideEngine(ask);
        break;
    case AskKind::Quota:
        answer = decideQuota(ask);
        break;
    case AskKind::Spill:   // The spill service answers it, as it has to ask other owners first.
    case AskKind::Holders: // Only gateways ask; routers ask for a chat's engine with Home.
    case AskKind::Start:   // Only gateways ask.
        break;
    }
    answer.request = ask.request;
    answer.load = backends_.load(ask.model);
    context_.counters.add("permit_answers", {{"result", text(answer.result)}});
    return answer;
}

void OwnerService::take(const peer::GiveBack &giveBack)
{
    if (quotas_.giveBack(giveBack.resource, giveBack.request, awake())) {
        return;
    }
    const bool counted = backends_.giveBack(giveBack.resource, giveBack.request);
    if (counted && giveBack.observed == peer::Observed::Served) {
        drain_.noteEnd(context_.now());
    }
    OwnedBackend *const owned = backends_.find(giveBack.resource);
    if (owned == nullptr) {
        return;
    }
    owned->served = owned->served || giveBack.observed == peer::Observed::Served;
    if (giveBack.observed == peer::Observed::Unreachable) {
        owned->health.noteUnreachable(context_.now());
        backends_.probeNow(giveBack.resource);
    }
    if (giveBack.observed == peer::Observed::RefusedLeaving) {
        owned->leaving = true;
        owned->ledger.setLeaving(true);
    }
}

void OwnerService::take(const peer::Renew &renew)
{
    for (const peer::HeldPermit &permit : renew.permits) {
        const routing::PermitRequest ask{permit.request, renew.router, permit.organisation};
        if (OwnedBackend *const owned = backends_.find(permit.resource); owned != nullptr) {
            owned->ledger.renew(ask, awake());
        } else if (organisation(permit.resource) != nullptr) {
            quotas_.renew(permit.resource, {permit.request, renew.router, 0}, awake());
        }
    }
}

void OwnerService::take(const peer::Placed &placed)
{
    remember(placed);
}

// A chat's home is its first available candidate, whose owner remembers where the chat ran. While
// the engine that would otherwise be first is down, its owner is informed too: that engine will be
// the home again, and its owner then has to know where the chat ran meanwhile.
void OwnerService::remember(const peer::Placed &placed)
{
    const BackendView *const backend = view().findShort(placed.engine);
    if (backend == nullptr) {
        return;
    }
    chats_.put(placed.chat, {backend->listed.backend.hash(), backend->state.incarnation});
    const auto all = view().knownEnginesOf(placed.model);
    if (placed.passedOn || all.empty()) {
        return;
    }
    const std::uint64_t usualHome = routing::candidatesFor(placed.chat, all, 1).front().engine;
    if (usualHome == placed.home) {
        return;
    }
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    const auto owner = membership::ownerOf(usualHome, membership.owners());
    const auto address = owner ? membership.addressOf(*owner) : std::nullopt;
    if (address) {
        const peer::Placed passedOn{placed.chat, usualHome, placed.engine, placed.model, true};
        context_.kernel.find<PeerService>("peer").send(*address, passedOn);
    }
}

const HallView &OwnerService::view()
{
    if (viewStale_) {
        const auto &membership = context_.kernel.find<MembershipService>("membership");
        view_ = makeHallView(context_.kernel.find<DirectoryService>("directory").own(),
                             membership.states(), membership.owners());
        viewStale_ = false;
    }
    // The state of the servers that this box owns is current.
    for (BackendView &backend : view_.backends) {
        if (const OwnedBackend *const owned = backends_.find(backend.listed.backend.hash());
            owned != nullptr) {
            backend.state = backends_.stateOf(*owned);
            backend.reported = true;
        }
    }
    return view_;
}

void OwnerService::onHeartbeat()
{
    viewStale_ = true;
    backends_.reconcile(view_, awake());
    const std::size_t expired = backends_.expire(awake()) + quotas_.expire(awake());
    if (expired > 0) {
        context_.counters.add("permits_expired", {}, expired);
    }
    loads_.forget(context_.settings.permitLease, context_.now());
    loads_.noteHeartbeat(backends_.noteBeat(context_.now()), reportAge());
    context_.counters.set("backends_owned", static_cast<double>(backends_.size()));
}

// The time by which leases run; it excludes stalls of this process. Otherwise permits would
// seem expired after one, although their renewals are still unread or still to be sent by this box,
// and that many more requests would be admitted over the bound.
kernel::Instant OwnerService::awake()
{
    return awake_.at(context_.now());
}

bool OwnerService::mayAnswerFor(std::uint64_t resource) const
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    const auto line = membership::rankedOwners(resource, membership.owners(), BoxesInOrder);
    return std::ranges::find(line, membership.self()) != line.end();
}

routing::PoolView OwnerService::poolView(ShortHash model,
                                         const std::vector<routing::Candidate> &engines)
{
    std::vector<routing::KnownLoad> known;
    known.reserve(engines.size());
    for (const routing::Candidate &engine : engines) {
        const bool own = backends_.find(engine.engine) != nullptr;
        known.push_back(
                {engine.engine, engine.inFlight, own ? 0 : view_.reporterOf(engine.engine)});
    }
    routing::PoolView view;
    view.engines = engines.size();
    view.inFlight = loads_.inFlight(model, known, context_.now());
    const auto &config = context_.kernel.find<ConfigService>("config");
    const auto *const pool = config.ready() ? config.effective().poolOfModelHash(model) : nullptr;
    if (pool != nullptr) {
        view.bound =
                routing::loadBound(pool->loadFactor, view.inFlight, view.engines, pool->idleLoad);
    }
    return view;
}

void OwnerService::noteLoad(std::uint64_t box, ShortHash model, std::uint32_t load)
{
    loads_.noteReport(box, model, load, backends_.load(model), context_.now());
}

// The age of a heartbeat's report in heartbeat periods: it reaches all boxes in about log2(boxes)
// periods.
std::size_t OwnerService::reportAge() const
{
    const std::size_t boxes = context_.kernel.find<MembershipService>("membership").owners().size();
    return boxes <= context_.settings.fanout + 1 ? 1 : std::bit_width(boxes);
}

GrantResult OwnerService::grant(OwnedBackend &owned, const AskPermit &ask)
{
    if (!owned.health.usable()) {
        return GrantResult::Leaving;
    }
    const auto engines = view().enginesOf(ask.model);
    const auto pool = poolView(ask.model, engines);
    const auto &config = context_.kernel.find<ConfigService>("config");
    const auto *const settings =
            config.ready() ? config.effective().poolOfModelHash(ask.model) : nullptr;
    const routing::Bounds bounds{.bound = pool.bound,
                                 .settlingBound =
                                         routing::loadBound(1, pool.inFlight, pool.engines),
                                 .slots = settings == nullptr ? 1 : settings->slots,
                                 .unaccountedLoad = owned.unaccountedLoad};
    const GrantResult result = owned.ledger.ask(ledgerAsk(ask), bounds, awake());
    if (result == GrantResult::Full || result == GrantResult::Unfair) {
        drain_.noteRefusal(context_.now());
    }
    return result;
}

PermitAnswer OwnerService::decideHome(const AskPermit &ask)
{
    PermitAnswer answer;
    if (backends_.find(ask.resource) == nullptr && !mayAnswerFor(ask.resource)) {
        return answer;
    }
    const auto all = view().enginesOf(ask.model);
    auto engines = all;
    std::erase_if(engines, [&ask](const routing::Candidate &engine) {
        return std::ranges::find(ask.excluded, engine.engine) != ask.excluded.end();
    });
    if (engines.empty()) {
        answer.result = PermitResult::Leaving;
        answer.comeBackMs = comeBackMs(drain_);
        return answer;
    }
    const auto &config = context_.kernel.find<ConfigService>("config");
    const auto *const pool =
            config.ready() ? config.effective().poolOfModelHash(ask.model) : nullptr;
    const std::size_t count = pool == nullptr ? 1 : pool->candidates;
    const auto candidates = routing::candidatesFor(ask.chat, engines, count);
    const auto choices = routing::shortlist(routing::placeChat(candidates, chats_.find(ask.chat),
                                                               engines, poolView(ask.model, all)),
                                            MaxChoices);
    bool full = false;
    for (const routing::Choice &choice : choices) {
        const peer::Suggestion suggestion{shortHash(choice.engine),
                                          static_cast<std::uint8_t>(choice.reason)};
        OwnedBackend *const owned = backends_.find(choice.engine);
        if (owned != nullptr && answer.suggestions.empty()) {
            const GrantResult result = grant(*owned, ask);
            if (result == GrantResult::Granted) {
                remember({ask.chat, ask.resource, suggestion.engine, ask.model, false});
                answer.result = PermitResult::Granted;
                answer.suggestions = {suggestion};
                return answer;
            }
            full = full || result != GrantResult::Leaving;
            continue;
        }
        answer.suggestions.push_back(suggestion);
    }
    // The suggestions leave out the engines that were tried here. If one of these is full, the
    // answer has to say so, as all suggested engines may be down.
    if (full) {
        answer.result = PermitResult::Full;
    } else {
        answer.result =
                answer.suggestions.empty() ? PermitResult::Leaving : PermitResult::Redirected;
    }
    answer.comeBackMs = comeBackMs(drain_);
    if (!answer.suggestions.empty()) {
        remember({ask.chat, ask.resource, answer.suggestions.front().engine, ask.model, false});
    }
    return answer;
}

PermitAnswer OwnerService::decideEngine(const AskPermit &ask)
{
    PermitAnswer answer;
    OwnedBackend *owned = backends_.find(ask.resource);
    if (owned == nullptr && mayAnswerFor(ask.resource)) {
        // As this box sees it, another box owns the engine. The asking box couldn't reach that one.
        if (const BackendView *const listed = view().find(ask.resource); listed != nullptr) {
            backends_.adopt(store::ListedBackend(listed->listed), view_, awake());
            owned = backends_.find(ask.resource);
            context_.counters.add("acting_for_owner");
        }
    }
    if (owned == nullptr) {
        return answer;
    }
    answer.result = resultOf(grant(*owned, ask));
    answer.comeBackMs = comeBackMs(drain_);
    if (answer.result == PermitResult::Granted) {
        answer.suggestions = {{shortHash(ask.resource), 0}};
    }
    return answer;
}

PermitAnswer OwnerService::decideQuota(const AskPermit &ask)
{
    PermitAnswer answer;
    const auto *const settings = organisation(ask.resource);
    if (settings == nullptr || !mayAnswerFor(ask.resource)) {
        return answer;
    }
    const admission::QuotaLimits limits{settings->maxInFlight, settings->requestsPerMinute};
    const auto quota = quotas_.ask(ask.resource, limits, {ask.request, ask.router, 0}, awake(),
                                   context_.random);
    answer.result = resultOf(quota.result);
    answer.comeBackMs = static_cast<std::uint32_t>(quota.retryDelay / 1ms);
    return answer;
}

const config::OrganisationSettings *OwnerService::organisation(std::uint64_t hash) const
{
    const auto &config = context_.kernel.find<ConfigService>("config");
    return config.ready() ? config.effective().organisationByHash(hash) : nullptr;
}

std::uint32_t OwnerService::comeBackMs(admission::DrainRate &drain)
{
    return static_cast<std::uint32_t>(drain.retryDelay(context_.now(), context_.random) / 1ms);
}

} // namespace limereel::services
