#include "services/OwnerService.h"

#include "http/Client.h"
#include "kernel/Log.h"
#include "membership/Ownership.h"
#include "routing/LoadBound.h"
#include "services/ConfigService.h"
#include "services/DirectoryService.h"
#include "services/MembershipService.h"
#include "services/PeerService.h"

#include <algorithm>
#include <bit>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace limereel::services {

namespace asio = boost::asio;
using kernel::Instant;
using membership::shortHash;
using membership::ShortHash;
using peer::AskKind;
using peer::AskPermit;
using peer::PermitAnswer;
using peer::PermitResult;
using routing::GrantResult;

namespace {

// With the default of five candidates all are asked, the chat's last engine and the two least
// loaded of the pool besides.
constexpr std::size_t MostChoices = 8;
// A probe's answer may be read late, by a loop that stood still.
constexpr int ProbesKept = 2;
constexpr std::size_t LineLength =
        2; ///< Boxes that may answer for a resource: its owner and the next.
constexpr int MostSkips =
        3; ///< Probe rounds in a row that a serving backend server is passed over.

const kernel::Log &log()
{
    static const kernel::Log Log("owner");
    return Log;
}

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

std::vector<ShortHash> modelsIn(const nlohmann::json &status, const char *key)
{
    std::vector<ShortHash> models;
    for (const auto &model : status.value(key, std::vector<std::string>())) {
        models.push_back(shortHash(kernel::hashOf(model)));
    }
    return models;
}

routing::Ask ledgerAsk(const AskPermit &ask)
{
    return {.request = ask.request, .router = ask.router, .organisation = ask.organisation};
}

} // namespace

OwnerService::OwnerService(Context &context)
    : context_(context)
    , policy_{.lease = context.settings.permitLease, .settle = context.settings.settle}
    , awake_(context.settings.heartbeatPeriod)
    , quotas_(policy_)
    , chats_(context.settings.chatIndex)
    , drain_(context.now())
    , loads_(context.settings.heartbeatPeriod)
    , permitsThen_(context.settings.loadLag + ProbesKept * context.settings.probePeriod)
{
}

void OwnerService::start()
{
    auto &membership = context_.kernel.find<MembershipService>("membership");
    membership.onState([this](membership::BoxState &state) { completeState(state); });
    membership.onBeat([this] { beat(); });
    probeLoop_ = std::make_unique<Repeat>(context_.io, [this] { return probeRound(); });
}

void OwnerService::stop()
{
    probeLoop_.reset();
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
    case AskKind::Spill:
        // Answered by the spill service, as it needs asks of its own.
        break;
    }
    answer.request = ask.request;
    answer.load = ownLoad(ask.model);
    context_.counters.add("permit_answers", {{"result", text(answer.result)}});
    return answer;
}

void OwnerService::take(const peer::GiveBack &giveBack)
{
    if (quotas_.giveBack(giveBack.resource, giveBack.request, awake())) {
        return;
    }
    OwnedBackend *const owned = findOwned(giveBack.resource);
    bool counted = owned != nullptr && owned->ledger.giveBack(giveBack.request);
    // One whose grant never arrived doesn't know which engine it was for: it names the chat's first
    // candidate.
    for (auto place = backends_.begin(); !counted && place != backends_.end(); ++place) {
        counted = place->second.ledger.giveBack(giveBack.request);
    }
    if (counted && giveBack.observed == peer::Observed::Served) {
        drain_.noteEnd(context_.now());
    }
    if (owned == nullptr) {
        return;
    }
    owned->served = owned->served || giveBack.observed == peer::Observed::Served;
    if (giveBack.observed == peer::Observed::Unreachable) {
        owned->health.noteBad(context_.now());
        asio::co_spawn(context_.io, probe(giveBack.resource), asio::detached);
    }
    if (giveBack.observed == peer::Observed::RefusedLeaving) {
        owned->leaving = true;
        owned->ledger.setLeaving(true);
    }
}

void OwnerService::take(const peer::Renew &renew)
{
    for (const peer::HeldPermit &permit : renew.permits) {
        const routing::Ask ask{permit.request, renew.router, permit.organisation};
        if (OwnedBackend *const owned = findOwned(permit.resource); owned != nullptr) {
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

// A chat's home is the owner of its first open candidate. While the engine that would be first is
// down, the owner of that one is told as well: it will be the home again, and must know where the
// chat went.
void OwnerService::remember(const peer::Placed &placed)
{
    const BackendView *const backend = view().findShort(placed.engine);
    if (backend == nullptr) {
        return;
    }
    chats_.put(placed.chat, {backend->listed.backend.hash(), backend->state.incarnation});
    const auto all = view().enginesEverOf(placed.model);
    if (placed.passedOn || all.empty()) {
        return;
    }
    const std::uint64_t natural = routing::candidatesFor(placed.chat, all, 1).front().engine;
    if (natural == placed.home) {
        return;
    }
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    const auto owner = membership::ownerOf(natural, membership.owners());
    const auto address = owner ? membership.addressOf(*owner) : std::nullopt;
    if (address) {
        const peer::Placed passedOn{placed.chat, natural, placed.engine, placed.model, true};
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
    // What this box owns it knows to the moment.
    for (BackendView &backend : view_.backends) {
        if (const OwnedBackend *const owned = findOwned(backend.listed.backend.hash());
            owned != nullptr) {
            backend.state = stateOf(*owned);
            backend.reported = true;
        }
    }
    return view_;
}

void OwnerService::beat()
{
    viewStale_ = true;
    review();
    std::size_t expired = 0;
    routing::OwnLoads loads;
    routing::OwnLoads permits;
    for (auto &[hash, owned] : backends_) {
        expired += owned.ledger.expire(awake());
        loads[hash] = owned.ledger.inFlight() + owned.unknownLoad;
        permits[hash] = owned.ledger.inFlight();
    }
    expired += quotas_.expire(awake());
    if (expired > 0) {
        context_.counters.add("permits_expired", {}, expired);
    }
    loads_.forget(context_.settings.permitLease, context_.now());
    loads_.noteBeat(std::move(loads), reportAge());
    permitsThen_.note(std::move(permits), context_.now());
    context_.counters.set("backends_owned", static_cast<double>(backends_.size()));
}

// After a standstill, permits whose renewals lie unread or are this box's own to make would look
// lapsed, and as many requests would be let in over the bound.
Instant OwnerService::awake()
{
    return awake_.at(context_.now());
}

void OwnerService::review()
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    const auto owners = membership.owners();
    const auto &list = context_.kernel.find<DirectoryService>("directory").own();
    std::map<std::uint64_t, OwnedBackend> kept;
    for (const auto &listed : list.backends) {
        const std::uint64_t hash = listed.backend.hash();
        const bool own = membership::ownerOf(hash, owners) == membership.self();
        const auto place = backends_.find(hash);
        // What still has permits of ours is kept until they end: the next owner can't see them all
        // yet.
        if (place != backends_.end() && (own || place->second.ledger.inFlight() > 0)) {
            place->second.listed = listed;
            place->second.ledger.setLeaving(place->second.leaving || listed.leaving);
            kept.insert(backends_.extract(place));
        } else if (own && place == backends_.end()) {
            adopt(listed);
            kept.insert(backends_.extract(hash));
        }
    }
    backends_ = std::move(kept);
}

void OwnerService::adopt(const store::ListedBackend &listed)
{
    const BackendView *const before = view_.find(listed.backend.hash());
    const bool takeover = before != nullptr && before->reported;
    OwnedBackend owned{.listed = listed,
                       .ledger = routing::PermitLedger(policy_, awake(), takeover),
                       .health = {},
                       .leaving = false,
                       .probing = false,
                       .models = {},
                       .loading = {},
                       .unknownLoad = 0,
                       .skips = 0,
                       .served = false};
    // Until the first probe, what the owner before said is the best there is.
    if (takeover) {
        owned.models = before->state.models;
    }
    if (takeover && before->state.usable) {
        owned.health.noteGood(before->state.incarnation, context_.now());
        owned.leaving = before->state.leaving;
        owned.unknownLoad = before->state.inFlight;
    }
    owned.ledger.setLeaving(owned.leaving || listed.leaving);
    backends_.emplace(listed.backend.hash(), std::move(owned));
    context_.counters.add("backends_taken_over");
    asio::co_spawn(context_.io, probe(listed.backend.hash()), asio::detached);
}

void OwnerService::completeState(membership::BoxState &state) const
{
    for (const auto &[hash, owned] : backends_) {
        state.backends.push_back(stateOf(owned));
    }
}

membership::BackendState OwnerService::stateOf(const OwnedBackend &owned) const
{
    return {.backend = shortHash(owned.listed.backend.hash()),
            .inFlight = owned.ledger.inFlight() + owned.unknownLoad,
            .incarnation = owned.health.incarnation(),
            .leaving = owned.ledger.leaving(),
            .usable = owned.health.usable(),
            .models = owned.models,
            .loading = owned.loading};
}

asio::awaitable<kernel::Duration> OwnerService::probeRound()
{
    for (auto &[hash, owned] : backends_) {
        // One that has just served a request is there; it refuses by itself once it leaves.
        // Load that this owner doesn't know of, though, is only seen by probes.
        const bool skip = std::exchange(owned.served, false) && owned.health.usable()
                          && owned.unknownLoad == 0 && owned.skips < MostSkips;
        owned.skips = skip ? owned.skips + 1 : 0;
        if (!skip) {
            asio::co_spawn(context_.io, probe(hash), asio::detached);
        }
    }
    co_return context_.settings.probePeriod;
}

asio::awaitable<void> OwnerService::probe(std::uint64_t backend)
{
    OwnedBackend *owned = findOwned(backend);
    if (owned == nullptr || owned->probing) {
        co_return;
    }
    const auto endpoint = kernel::endpointFrom(owned->listed.address);
    if (!endpoint) {
        log().error("The platform lists a backend server at '" + owned->listed.address
                    + "', which is no address.");
        co_return;
    }
    owned->probing = true;
    const kernel::Instant asked = context_.now();
    const http::CallTimeouts timeouts{.connect = context_.settings.connectTimeout,
                                      .head = context_.settings.connectTimeout,
                                      .part = context_.settings.connectTimeout};
    const auto answer =
            co_await http::call(context_.io, *endpoint, {"GET", "/v1/status", {}, {}}, timeouts);
    // Ownership may have passed on while the probe was out.
    owned = findOwned(backend);
    if (owned == nullptr) {
        co_return;
    }
    owned->probing = false;
    context_.counters.add("probes", {{"result", answer ? "answered" : "failed"}});
    const bool before = owned->health.usable();
    if (answer && answer->status == 200) {
        takeProbe(*owned, answer->body, asked);
    } else {
        owned->health.noteBad(context_.now());
    }
    if (before != owned->health.usable()) {
        log().info("Backend server " + owned->listed.backend.text()
                   + (before ? " is no longer usable." : " is usable."));
        viewStale_ = true;
    }
}

void OwnerService::takeProbe(OwnedBackend &owned, const std::string &body, kernel::Instant asked)
{
    const auto status = nlohmann::json::parse(body, nullptr, false);
    if (!status.is_object()) {
        owned.health.noteBad(context_.now());
        return;
    }
    owned.health.noteGood(status.value("incarnation", 1U), context_.now());
    // Its own word is newer than the platform's list.
    owned.leaving = status.value("leaving", false);
    owned.ledger.setLeaving(owned.leaving || owned.listed.leaving);
    const auto running = status.value("running", 0U);
    // The report is old. What this box had granted at any moment since then explains it.
    const std::uint64_t engine = owned.listed.backend.hash();
    const std::uint32_t explained =
            std::max(owned.ledger.inFlight(),
                     permitsThen_.greatest(engine, asked - context_.settings.loadLag));
    owned.unknownLoad = running > explained ? running - explained : 0;
    owned.models = modelsIn(status, "models");
    owned.loading = modelsIn(status, "loading");
}

OwnerService::OwnedBackend *OwnerService::findOwned(std::uint64_t backend)
{
    const auto place = backends_.find(backend);
    return place == backends_.end() ? nullptr : &place->second;
}

bool OwnerService::inLine(std::uint64_t resource) const
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    const auto line = membership::ownersInLine(resource, membership.owners(), LineLength);
    return std::ranges::find(line, membership.self()) != line.end();
}

routing::PoolView OwnerService::poolView(ShortHash model,
                                         const std::vector<routing::Candidate> &engines)
{
    std::vector<routing::KnownLoad> known;
    known.reserve(engines.size());
    for (const routing::Candidate &engine : engines) {
        const bool own = findOwned(engine.engine) != nullptr;
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

std::uint32_t OwnerService::ownLoad(ShortHash model) const
{
    std::uint32_t load = 0;
    for (const auto &[hash, owned] : backends_) {
        const bool holds = std::ranges::find(owned.models, model) != owned.models.end();
        load += holds ? owned.ledger.inFlight() + owned.unknownLoad : 0;
    }
    return load;
}

void OwnerService::noteLoad(std::uint64_t box, ShortHash model, std::uint32_t load)
{
    loads_.noteSpoken(box, model, load, ownLoad(model), context_.now());
}

// How many periods old a heartbeat's word is: it takes about log2(boxes) periods to everyone.
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
                                 .unknownLoad = owned.unknownLoad};
    const GrantResult result = owned.ledger.ask(ledgerAsk(ask), bounds, awake());
    if (result == GrantResult::Full || result == GrantResult::Unfair) {
        drain_.noteRefusal(context_.now());
    }
    return result;
}

PermitAnswer OwnerService::decideHome(const AskPermit &ask)
{
    PermitAnswer answer;
    if (findOwned(ask.resource) == nullptr && !inLine(ask.resource)) {
        return answer;
    }
    const auto all = view().enginesOf(ask.model);
    auto engines = all;
    std::erase_if(engines, [&ask](const routing::Candidate &engine) {
        return std::ranges::find(ask.excluded, engine.engine) != ask.excluded.end();
    });
    if (engines.empty()) {
        answer.result = PermitResult::Full;
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
                                            MostChoices);
    for (const routing::Choice &choice : choices) {
        const peer::Suggestion suggestion{shortHash(choice.engine),
                                          static_cast<std::uint8_t>(choice.reason)};
        OwnedBackend *const owned = findOwned(choice.engine);
        if (owned != nullptr && answer.suggestions.empty()) {
            if (grant(*owned, ask) == GrantResult::Granted) {
                remember({ask.chat, ask.resource, suggestion.engine, ask.model, false});
                answer.result = PermitResult::Granted;
                answer.suggestions = {suggestion};
                return answer;
            }
            continue;
        }
        answer.suggestions.push_back(suggestion);
    }
    answer.result = answer.suggestions.empty() ? PermitResult::Full : PermitResult::Redirected;
    answer.comeBackMs = comeBackMs(drain_);
    if (!answer.suggestions.empty()) {
        remember({ask.chat, ask.resource, answer.suggestions.front().engine, ask.model, false});
    }
    return answer;
}

PermitAnswer OwnerService::decideEngine(const AskPermit &ask)
{
    PermitAnswer answer;
    OwnedBackend *owned = findOwned(ask.resource);
    if (owned == nullptr && inLine(ask.resource)) {
        // Asked for an engine that another box owns in this box's eyes: the asker could not reach
        // that one.
        if (const BackendView *const listed = view().find(ask.resource); listed != nullptr) {
            adopt(store::ListedBackend(listed->listed));
            owned = findOwned(ask.resource);
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
    if (settings == nullptr || !inLine(ask.resource)) {
        return answer;
    }
    const admission::QuotaLimits limits{settings->maxInFlight, settings->requestsPerMinute};
    const auto quota = quotas_.ask(ask.resource, limits, {ask.request, ask.router, 0}, awake(),
                                   context_.random);
    answer.result = resultOf(quota.result);
    answer.comeBackMs = static_cast<std::uint32_t>(quota.comeBackIn / 1ms);
    return answer;
}

const config::OrganisationSettings *OwnerService::organisation(std::uint64_t hash) const
{
    const auto &config = context_.kernel.find<ConfigService>("config");
    return config.ready() ? config.effective().organisationByHash(hash) : nullptr;
}

std::uint32_t OwnerService::comeBackMs(admission::DrainRate &drain)
{
    return static_cast<std::uint32_t>(drain.comeBackIn(context_.now(), context_.random) / 1ms);
}

} // namespace limereel::services
