#include "gateway/FleetView.h"

#include "gateway/FeedPaces.h"
#include "kernel/Log.h"
#include "services/CrashService.h"
#include "store/RelayOrder.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <ranges>
#include <set>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr kernel::Duration SweepInterval = 100ms;
// A sweep that is late by this much means that the process stalled.
constexpr kernel::Duration MinStall = 50ms;
// Turns of the event loop to wait at most. A change is processed within a few turns, a list of
// thousands of servers within some hundred. A store that keeps sending must not block requests.
constexpr int MaxLoopTurns = 1000;
// Log lines for new servers per answer of the store. A box that starts in a fleet of ten thousand
// servers would otherwise write a line for each instead of serving requests.
constexpr std::size_t MaxServerLogLines = 16;
// Heartbeats after which a backend server that is alive is listed again after an outage.
constexpr int BeatsToRelist = 2;
// A box that can't learn the drained halls from its own hall asks the store, but not before this
// time: in the first seconds no box in its hall may know them yet, and all would ask at once.
constexpr kernel::Duration HallDrainGrace = 4s;
// Share of the time in which a configuration must be in force that a relay may take to send it.
constexpr double RelayTimeFraction = 0.25;

const kernel::Log &log()
{
    static const kernel::Log Log("world");
    return Log;
}

forward::UnconfirmedKeys unconfirmedKeys(const kernel::GatewaySettings &settings)
{
    return settings.refuseUnconfirmedKeys ? forward::UnconfirmedKeys::Refuse
                                          : forward::UnconfirmedKeys::Honour;
}

forward::ServerPolicy policyOf(const kernel::BoxSettings &settings)
{
    forward::ServerPolicy policy;
    policy.hall = settings.hall.text();
    policy.loadMultiple = settings.gateway.loadMultiple;
    policy.partRemembered = settings.gateway.partRemembered * 6;
    policy.maxBackoff = settings.gateway.longestRest;
    policy.comparePaces = settings.gateway.admission;
    return policy;
}

/** The name and log sentence of a KeyTrust. */
struct TrustText
{
    const char *name;
    const char *sentence;
};

TrustText trustText(KeyTrust trust)
{
    switch (trust) {
    case KeyTrust::Fresh:
        return {"fresh", "The configuration is confirmed; keys are honoured."};
    case KeyTrust::Unconfirmed:
        return {"unconfirmed", "The configuration wasn't confirmed in time; keys are honoured by "
                               "the last known one."};
    case KeyTrust::Stale:
        break;
    }
    return {"stale", "The configuration wasn't confirmed in time; keys are not honoured."};
}

} // namespace

kernel::Duration keptAfterOutage(const kernel::GatewaySettings &settings)
{
    const kernel::Duration bound = settings.drainWithin * 3 / 4;
    const kernel::Duration gathered = serverPaces(settings).alone.afterChange;
    return std::min<kernel::Duration>(settings.listBeat * BeatsToRelist, bound - gathered);
}

FleetView::FleetView(services::Context &context, Adapter adapter)
    : context_(context)
    , adapter_(std::move(adapter))
    , freshness_(usableFor(context.settings.gateway), unconfirmedKeys(context.settings.gateway))
    , servers_(policyOf(context.settings))
    , budget_({context.settings.gateway.retryRatio, context.settings.gateway.retryWindow,
               context.settings.gateway.retrySlack})
{
}

void FleetView::start()
{
    context_.kernel.find<services::CrashService>("crashes").detector().setWayLost(
            [this](std::uint64_t server) { return isLost(servers_.serviceOf(server)); });
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    sources_ = std::make_unique<FeedSources>(context_, minBoxesForRelaying(settings));
    FeedHooks configurationHooks;
    configurationHooks.changed = [this](auto objects) { applyConfiguration(objects); };
    configurationHooks.confirmed = [this](kernel::Instant asOf) {
        if (snapshot_) {
            freshness_.confirm(asOf);
        }
        retryOtherFeeds();
    };
    configurationFeed_ = std::make_unique<ObjectFeed>(
            context_, adapter_.store, adapter_.configurationKind, configurationPaces(settings),
            *sources_, std::move(configurationHooks), adapter_.configurationName);
    FeedHooks serverHooks;
    serverHooks.changed = [this](auto objects) { changeServers(objects); };
    serverHooks.listComplete = [this](const auto &names) { dropUnlistedServers(names); };
    serverHooks.listPartial = [this] { serversRead_ = std::max(serversRead_, ListRead::Part); };
    serverHooks.confirmed = [](kernel::Instant) {};
    // While the store is away, only the configuration feed tests whether it answers.
    serverHooks.storeAllowed = [this] { return !configurationFeed_->storeFailing(); };
    serverFeed_ =
            std::make_unique<ObjectFeed>(context_, adapter_.store, adapter_.serverKind,
                                         serverPaces(settings), *sources_, std::move(serverHooks));
    servers_.setHallRegions(settings.hallRegions);
    started_ = context_.now();
    followHallDrains();
    sweep_ = std::make_unique<services::PeriodicTask>(context_.io, [this] { return sweep(); });
}

void FleetView::followHallDrains()
{
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    if (settings.hallDrainWithin == 0s || adapter_.hallDrainKind.empty()) {
        return;
    }
    FeedHooks hooks;
    hooks.changed = [this](auto objects) { changeDrains(objects); };
    hooks.listComplete = [this](const auto &names) { endUnlistedDrains(names); };
    hooks.confirmed = [](kernel::Instant) {};
    hooks.storeAllowed = [this] {
        return !configurationFeed_->storeFailing() && context_.now() - started_ >= HallDrainGrace;
    };
    hallDrainFeed_ =
            std::make_unique<ObjectFeed>(context_, adapter_.store, adapter_.hallDrainKind,
                                         hallDrainPaces(settings), *sources_, std::move(hooks));
}

void FleetView::retryOtherFeeds()
{
    for (ObjectFeed *const feed : {serverFeed_.get(), hallDrainFeed_.get()}) {
        if (feed == nullptr) {
            continue;
        }
        if (configurationFeed_->heardFromStore()) {
            feed->noteStoreHeard();
        }
        feed->retryNow();
    }
}

void FleetView::stop()
{
    sweep_.reset();
    hallDrainFeed_.reset();
    serverFeed_.reset();
    configurationFeed_.reset();
}

ObjectFeed *FleetView::feed(std::string_view kind)
{
    if (configurationFeed_ && kind == adapter_.configurationKind) {
        return configurationFeed_.get();
    }
    if (hallDrainFeed_ && kind == adapter_.hallDrainKind) {
        return hallDrainFeed_.get();
    }
    return serverFeed_ && kind == adapter_.serverKind ? serverFeed_.get() : nullptr;
}

std::size_t FleetView::largestRelayed() const
{
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    return store::largestRelayed(settings.linkMbps, sources_->hallBoxes(),
                                 kernel::seconds(settings.applyWithin) * RelayTimeFraction);
}

bool FleetView::stalled() const
{
    return caughtUpAt_ && context_.now() - *caughtUpAt_ >= SweepInterval + MinStall;
}

asio::awaitable<void> FleetView::catchUp()
{
    if (!catchingUp_ && !stalled()) {
        co_return;
    }
    catchingUp_ = true;
    for (int turns = 0; turns < MaxLoopTurns && catchingUp_; ++turns) {
        // Runs before the check, because bytes already read from the socket may wait for their
        // handler.
        co_await asio::post(context_.io, asio::use_awaitable);
        const bool drainsBehind = hallDrainFeed_ && hallDrainFeed_->hasUnprocessed();
        catchingUp_ = catchingUp_ && serverFeed_ && (serverFeed_->hasUnprocessed() || drainsBehind);
    }
    catchingUp_ = false;
    caughtUpAt_ = context_.now();
}

asio::awaitable<kernel::Duration> FleetView::sweep()
{
    co_await catchUp();
    caughtUpAt_ = context_.now();
    servers_.noteAwake(*caughtUpAt_);
    dropMissing();
    coldStarts_.expire(*caughtUpAt_);
    shortServices_.expire(*caughtUpAt_);
    context_.counters.set("short_services",
                          static_cast<double>(shortServices_.count(*caughtUpAt_)));
    noteFreshness();
    noteLostServices();
    co_return kernel::Duration(SweepInterval);
}

bool FleetView::isLost(const std::string &service) const
{
    return reach_.isLost(service, servers_.serversOf(service), context_.now());
}

void FleetView::noteLostServices()
{
    std::set<std::string> lost;
    for (const std::string &service : reach_.doubtful(context_.now())) {
        if (isLost(service)) {
            lost.insert(service);
        }
    }
    const auto logChanges = [](const auto &these, const auto &others, const char *event,
                               const char *message) {
        for (const std::string &service : these) {
            if (!others.contains(service)) {
                log().event(event, {{"service", service}}, message);
            }
        }
    };
    logChanges(lost, lostServices_, "service-lost",
               "This box reaches none of a service's backend servers.");
    logChanges(lostServices_, lost, "service-reached",
               "This box reaches backend servers of a service again, or hasn't tried lately.");
    context_.counters.set("services_lost", static_cast<double>(lost.size()));
    lostServices_ = std::move(lost);
}

void FleetView::applySettings()
{
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    freshness_.setPolicy(usableFor(settings), unconfirmedKeys(settings));
    sources_->setFewest(minBoxesForRelaying(settings));
    configurationFeed_->setPaces(configurationPaces(settings));
    serverFeed_->setPaces(serverPaces(settings));
    if (hallDrainFeed_) {
        hallDrainFeed_->setPaces(hallDrainPaces(settings));
    }
    budget_.setBound({settings.retryRatio, settings.retryWindow, settings.retrySlack});
}

bool FleetView::ready() const
{
    // A part of a list may name no server although there are some.
    const bool serversKnown = serversRead_ == ListRead::Whole
                              || (serversRead_ == ListRead::Part && !servers_.empty());
    return snapshot_ && serversKnown && freshness_.usable(context_.now());
}

// Parses only the newest of several versions in one answer: each may have thousands of routes, and
// requests wait while one is parsed.
void FleetView::applyConfiguration(std::span<const store::StoredObject> objects)
{
    for (const store::StoredObject &object : objects | std::views::reverse) {
        if (object.name == adapter_.configurationName && !object.gone
            && readConfiguration(object)) {
            return;
        }
    }
}

bool FleetView::readConfiguration(const store::StoredObject &object)
{
    context_.counters.add("configurations_read");
    auto content = adapter_.readConfiguration(object.content);
    if (!content) {
        context_.counters.add("configurations_unreadable");
        log().error("A configuration can't be read and is left out: " + content.error() + ".");
        return false;
    }
    if (snapshot_ && content->version <= snapshot_->version()) {
        return true;
    }
    snapshot_ = std::make_shared<const forward::Snapshot>(std::move(*content));
    log().event("configuration",
                {{"version", snapshot_->version()},
                 {"routes", snapshot_->content().routes.size()},
                 {"idle_ms", snapshot_->limits().idleTimeout / 1ms}},
                "A new configuration is in force.");
    for (const std::string &name : snapshot_->content().leftOut) {
        context_.counters.add("organisations_left_out");
        log().event("organisation-left-out", {{"organisation", kernel::shortName(name)}},
                    "An organisation's name can't be told to servers; its keys aren't known.");
    }
    std::map<std::string, forward::ColdPolicy> cold;
    for (const forward::Service &service : snapshot_->content().services) {
        cold[service.name] = service.cold;
    }
    coldStarts_.setServices(cold);
    for (const auto &called : onConfiguration_) {
        called(*snapshot_);
    }
    return true;
}

// An entry that can't be parsed counts as removed, even if an earlier version of it was valid.
void FleetView::applyServer(const store::StoredObject &object)
{
    const auto entry = adapter_.readServer(object);
    if (entry) {
        applyEntry(*entry);
        return;
    }
    context_.counters.add("servers_unreadable");
    log().event("server-unreadable",
                {{"server", kernel::shortName(object.name)}, {"why", entry.error()}},
                "The entry of a backend server can't be read; it names none.");
    if (servers_.find(object.name)) {
        markMissing(object.name);
    }
}

void FleetView::applyEntry(const forward::ServerEntry &entry)
{
    const forward::ListedServer server = servers_.known(entry.server);
    const kernel::Instant now = context_.now();
    const auto known = servers_.find(server.id);
    if (known && known->startNumber && server.startNumber
        && *known->startNumber > *server.startNumber) {
        context_.counters.add("servers_born_before");
        return;
    }
    missing_.erase(server.id);
    const bool newIncarnation = known && known->startNumber != server.startNumber;
    if (newIncarnation) {
        // The state of the previous incarnation doesn't apply to this one.
        dropServer(server.id);
    }
    if (!known && !server.leaving) {
        ++newServers_;
    }
    const bool mayLog = newServers_ <= MaxServerLogLines || server.leaving || known;
    if (mayLog && (!known || *known != server)) {
        log().event("server-listed",
                    {{"server", server.id},
                     {"service", server.service},
                     {"version", server.version.text()},
                     {"address", kernel::text(server.address)},
                     {"cold_ms", entry.coldFor / 1ms},
                     {"leaving", server.leaving}},
                    server.leaving ? "A backend server is shutting down."
                                   : "A backend server accepts requests.");
    }
    const bool listed = serversRead_ != ListRead::None;
    if (listed && (!known || newIncarnation)) {
        coldStarts_.noteStarted(server.hash(), now);
    }
    coldStarts_.noteReported(server.hash(), entry.coldFor, now);
    servers_.put(server, listed ? now : kernel::Instant());
}

void FleetView::addDrain(const store::StoredObject &object, std::set<std::string> &halls)
{
    const auto hall = adapter_.readHallDrain(object);
    if (hall) {
        halls.insert(*hall);
        return;
    }
    context_.counters.add("hall_drains_unreadable");
    log().event("hall-drain-unreadable",
                {{"object", kernel::shortName(object.name)}, {"why", hall.error()}},
                "The drain of a hall can't be read; it drains none.");
}

void FleetView::endUnlistedDrains(const std::set<std::string> &listed)
{
    std::set<std::string> halls = drainedHalls_;
    std::erase_if(halls, [&](const std::string &hall) { return !listed.contains(hall); });
    setDrainedHalls(std::move(halls));
}

void FleetView::changeDrains(std::span<const store::StoredObject> objects)
{
    std::set<std::string> halls = drainedHalls_;
    for (const store::StoredObject &object : objects) {
        halls.erase(object.name);
        if (!object.gone) {
            addDrain(object, halls);
        }
    }
    setDrainedHalls(std::move(halls));
}

// The servers of a hall that takes requests again may have become cold in the meantime.
void FleetView::setDrainedHalls(std::set<std::string> halls)
{
    const kernel::Instant now = context_.now();
    for (const std::string &hall : halls) {
        if (!drainedHalls_.contains(hall)) {
            context_.counters.add("halls_drained");
            log().event("hall-drained", {{"hall", hall}},
                        "A hall is drained; it gets no new requests.");
        }
    }
    for (const std::string &hall : drainedHalls_) {
        if (halls.contains(hall)) {
            continue;
        }
        log().event("hall-returned", {{"hall", hall}},
                    "A hall is no longer drained; it gets new requests.");
        servers_.forEach([&](const forward::ListedServer &server) {
            if (server.hall == hall) {
                coldStarts_.noteStarted(server.hash(), now);
            }
        });
    }
    drainedHalls_ = halls;
    servers_.setDrainedHalls(std::move(halls));
}

void FleetView::dropUnlistedServers(const std::set<std::string> &listed)
{
    std::vector<std::string> delisted;
    servers_.forEach([&](const forward::ListedServer &server) {
        if (!listed.contains(server.id)) {
            delisted.push_back(server.id);
        }
    });
    for (const std::string &id : delisted) {
        markMissing(id);
    }
    serversRead_ = ListRead::Whole;
}

void FleetView::changeServers(std::span<const store::StoredObject> objects)
{
    newServers_ = 0;
    for (const store::StoredObject &object : objects) {
        if (object.gone) {
            markMissing(object.name);
        } else {
            applyServer(object);
        }
    }
    if (newServers_ > MaxServerLogLines) {
        log().event("servers-listed",
                    {{"new", newServers_}, {"last", kernel::shortName(objects.back().name)}},
                    "Many backend servers are new; the first of them have lines of their own.");
    }
}

// An entry may disappear because the store missed its server's heartbeats during an outage. The
// server is then kept for the time it needs to be listed again.
void FleetView::markMissing(const std::string &id)
{
    if (missing_.contains(id)) {
        return;
    }
    const kernel::Instant now = context_.now();
    const auto &settings = context_.settings.gateway;
    const auto failure = serverFeed_ ? serverFeed_->lastFailure() : std::nullopt;
    const bool storeHadOutage = failure && now - *failure < settings.contact;
    // The time counts from when the store's answer arrived; the process may have stalled since.
    const kernel::Instant reported = serverFeed_ ? serverFeed_->reportedAt() : now;
    missing_[id] = storeHadOutage ? reported + keptAfterOutage(settings) : now;
    dropMissing();
}

void FleetView::dropMissing()
{
    const kernel::Instant now = context_.now();
    std::vector<std::string> due;
    for (const auto &[id, when] : missing_) {
        if (now >= when) {
            due.push_back(id);
        }
    }
    for (const std::string &id : due) {
        missing_.erase(id);
        dropServer(id);
    }
}

// Logs why keys are refused, because the refused requests show only the symptom.
void FleetView::noteFreshness()
{
    const kernel::Instant now = context_.now();
    KeyTrust trust = KeyTrust::Stale;
    if (freshness_.confirmed(now)) {
        trust = KeyTrust::Fresh;
    } else if (freshness_.usable(now)) {
        trust = KeyTrust::Unconfirmed;
    }
    if (trust == trust_) {
        return;
    }
    trust_ = trust;
    const TrustText wording = trustText(trust);
    context_.counters.add("freshness_changes", {{"to", wording.name}});
    const auto age = freshness_.age(now);
    log().event(wording.name,
                {{"config_age_ms", age ? *age / 1ms : -1},
                 {"version", snapshot_ ? snapshot_->version() : 0}},
                wording.sentence);
}

void FleetView::dropServer(const std::string &id)
{
    log().event("server-gone", {{"server", id}}, "A backend server is no longer listed.");
    const auto gone = servers_.find(id);
    servers_.remove(id);
    for (const auto &called : onServerGone_) {
        if (gone) {
            called(*gone);
        }
    }
}

} // namespace limereel::gateway
