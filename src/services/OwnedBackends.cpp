#include "services/OwnedBackends.h"

#include "http/Client.h"
#include "kernel/Log.h"
#include "membership/Ownership.h"
#include "services/DirectoryService.h"
#include "services/MembershipService.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace limereel::services {

namespace asio = boost::asio;
using kernel::Instant;
using membership::shortHash;
using membership::ShortHash;

namespace {

// An event loop that was stalled may read a probe's answer late.
constexpr int ProbesKept = 2;
constexpr int MaxSkips =
        3; ///< Probe rounds in a row that a backend server which serves requests is skipped.

const kernel::Log &log()
{
    static const kernel::Log Log("owner");
    return Log;
}

std::vector<ShortHash> modelsIn(const nlohmann::json &status, const char *key)
{
    std::vector<ShortHash> models;
    for (const auto &model : status.value(key, std::vector<std::string>())) {
        models.push_back(shortHash(kernel::hashOf(model)));
    }
    return models;
}

} // namespace

OwnedBackends::OwnedBackends(Context &context, routing::PermitPolicy policy,
                             std::function<void()> changed)
    : context_(context)
    , policy_(policy)
    , changed_(std::move(changed))
    , pastPermits_(context.settings.loadLag + ProbesKept * context.settings.probePeriod)
{
}

void OwnedBackends::start()
{
    probeLoop_ = std::make_unique<PeriodicTask>(context_.io, [this] { return probeRound(); });
}

void OwnedBackends::stop()
{
    probeLoop_.reset();
}

OwnedBackend *OwnedBackends::find(std::uint64_t backend)
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : &found->second;
}

void OwnedBackends::reconcile(const HallView &known, kernel::Instant awake)
{
    const auto &membership = context_.kernel.find<MembershipService>("membership");
    const auto owners = membership.owners();
    const auto &list = context_.kernel.find<DirectoryService>("directory").own();
    std::map<std::uint64_t, OwnedBackend> kept;
    for (const auto &listed : list.backends) {
        const std::uint64_t hash = listed.backend.hash();
        const bool own = membership::ownerOf(hash, owners) == membership.self();
        const auto found = backends_.find(hash);
        // A server with permits that were granted here is kept until they end: the next owner
        // doesn't know all of them yet.
        if (found != backends_.end() && (own || found->second.ledger.inFlight() > 0)) {
            found->second.listed = listed;
            found->second.ledger.setLeaving(found->second.leaving || listed.leaving);
            kept.insert(backends_.extract(found));
        } else if (own && found == backends_.end()) {
            adopt(listed, known, awake);
            kept.insert(backends_.extract(hash));
        }
    }
    backends_ = std::move(kept);
}

void OwnedBackends::adopt(const store::ListedBackend &listed, const HallView &known,
                          kernel::Instant awake)
{
    const BackendView *const previous = known.find(listed.backend.hash());
    const bool takeover = previous != nullptr && previous->reported;
    OwnedBackend owned{.listed = listed,
                       .ledger = routing::PermitLedger(policy_, awake, takeover),
                       .health = {},
                       .leaving = false,
                       .probing = false,
                       .models = {},
                       .loading = {},
                       .unaccountedLoad = 0,
                       .skips = 0,
                       .served = false};
    // Until the first probe, the previous owner's report is the best information.
    if (takeover) {
        owned.models = previous->state.models;
    }
    if (takeover && previous->state.usable) {
        owned.health.noteProbeSuccess(previous->state.incarnation, context_.now());
        owned.leaving = previous->state.leaving;
        owned.unaccountedLoad = previous->state.inFlight;
    }
    owned.ledger.setLeaving(owned.leaving || listed.leaving);
    backends_.emplace(listed.backend.hash(), std::move(owned));
    context_.counters.add("backends_taken_over");
    probeNow(listed.backend.hash());
}

bool OwnedBackends::giveBack(std::uint64_t backend, std::uint64_t request)
{
    OwnedBackend *const owned = find(backend);
    if (owned != nullptr && owned->ledger.giveBack(request)) {
        return true;
    }
    // A box that never received the grant doesn't know its engine and names the chat's first
    // candidate.
    return std::ranges::any_of(
            backends_, [request](auto &entry) { return entry.second.ledger.giveBack(request); });
}

std::size_t OwnedBackends::expire(Instant now)
{
    std::size_t expired = 0;
    for (auto &[hash, owned] : backends_) {
        expired += owned.ledger.expire(now);
    }
    return expired;
}

routing::OwnLoads OwnedBackends::noteBeat(Instant now)
{
    routing::OwnLoads loads;
    routing::OwnLoads permits;
    for (const auto &[hash, owned] : backends_) {
        loads[hash] = owned.ledger.inFlight() + owned.unaccountedLoad;
        permits[hash] = owned.ledger.inFlight();
    }
    pastPermits_.note(std::move(permits), now);
    return loads;
}

std::vector<membership::BackendState> OwnedBackends::states() const
{
    std::vector<membership::BackendState> states;
    for (const auto &[hash, owned] : backends_) {
        states.push_back(stateOf(owned));
    }
    return states;
}

membership::BackendState OwnedBackends::stateOf(const OwnedBackend &owned) const
{
    return {.backend = shortHash(owned.listed.backend.hash()),
            .inFlight = owned.ledger.inFlight() + owned.unaccountedLoad,
            .incarnation = owned.health.incarnation(),
            .leaving = owned.ledger.leaving(),
            .usable = owned.health.usable(),
            .models = owned.models,
            .loading = owned.loading};
}

std::uint32_t OwnedBackends::load(ShortHash model) const
{
    std::uint32_t load = 0;
    for (const auto &[hash, owned] : backends_) {
        const bool holds = std::ranges::find(owned.models, model) != owned.models.end();
        load += holds ? owned.ledger.inFlight() + owned.unaccountedLoad : 0;
    }
    return load;
}

void OwnedBackends::probeNow(std::uint64_t backend)
{
    asio::co_spawn(context_.io, probe(backend), asio::detached);
}

asio::awaitable<kernel::Duration> OwnedBackends::probeRound()
{
    for (auto &[hash, owned] : backends_) {
        // A server that has just served a request is reachable, and refuses requests by itself once
        // it leaves. Only probes show load that this owner doesn't know of, however.
        const bool skip = std::exchange(owned.served, false) && owned.health.usable()
                          && owned.unaccountedLoad == 0 && owned.skips < MaxSkips;
        owned.skips = skip ? owned.skips + 1 : 0;
        if (!skip) {
            probeNow(hash);
        }
    }
    co_return context_.settings.probePeriod;
}

asio::awaitable<void> OwnedBackends::probe(std::uint64_t backend)
{
    OwnedBackend *owned = find(backend);
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
    // Another box may have become the owner while the probe was under way.
    owned = find(backend);
    if (owned == nullptr) {
        co_return;
    }
    owned->probing = false;
    context_.counters.add("probes", {{"result", answer ? "answered" : "failed"}});
    const bool wasUsable = owned->health.usable();
    if (answer && answer->status == 200) {
        takeProbe(*owned, answer->body, asked);
    } else {
        owned->health.noteUnreachable(context_.now());
    }
    if (wasUsable != owned->health.usable()) {
        log().info("Backend server " + owned->listed.backend.text()
                   + (wasUsable ? " is no longer usable." : " is usable."));
        changed_();
    }
}

void OwnedBackends::takeProbe(OwnedBackend &owned, const std::string &body, kernel::Instant asked)
{
    const auto status = nlohmann::json::parse(body, nullptr, false);
    if (!status.is_object()) {
        owned.health.noteUnreachable(context_.now());
        return;
    }
    owned.health.noteProbeSuccess(status.value("incarnation", 1U), context_.now());
    // The server's own report is newer than the platform's list.
    owned.leaving = status.value("leaving", false);
    owned.ledger.setLeaving(owned.leaving || owned.listed.leaving);
    const auto running = status.value("running", 0U);
    // The reported load is up to loadLag old. It counts as known up to the most permits that this
    // box had granted at any moment since then; the rest is unknown load.
    const std::uint64_t engine = owned.listed.backend.hash();
    const std::uint32_t knownLoad =
            std::max(owned.ledger.inFlight(),
                     pastPermits_.maxPermitsSince(engine, asked - context_.settings.loadLag));
    owned.unaccountedLoad = running > knownLoad ? running - knownLoad : 0;
    owned.models = modelsIn(status, "models");
    owned.loading = modelsIn(status, "loading");
}

} // namespace limereel::services
