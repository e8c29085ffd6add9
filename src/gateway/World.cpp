#include "gateway/World.h"

#include "gateway/FeedPaces.h"
#include "kernel/Log.h"
#include "store/RelayOrder.h"

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>
#include <ranges>
#include <set>

namespace limereel::gateway {

namespace asio = boost::asio;

namespace {

constexpr kernel::Duration SweepEvery = 100ms;
// A sweep that comes so late tells of a standstill.
constexpr kernel::Duration Standstill = 50ms;
// A change is taken in within a few turns of the loop, a list of thousands of servers within some
// hundred. A store that keeps sending must not hold requests up.
constexpr int MostTurns = 1000;
// Of one answer of the store. A box that starts in a fleet of ten thousand servers would write a
// line for each while it could take requests.
constexpr std::size_t MostNewTold = 16;
// Beats that a backend server which still lives needs to be listed again after an outage.
constexpr int BeatsToReturn = 2;
// A box whose hall doesn't tell it which halls are drained asks the store itself, after this: in
// the first seconds nobody in its hall may know yet, and all would ask.
constexpr kernel::Duration DrainsFromHall = 4s;
// A quarter of the time in which a configuration must be in force goes by while a relay sends it.
constexpr double RelayedWithinPart = 0.25;

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

forward::BookPolicy policyOf(const kernel::BoxSettings &settings)
{
    forward::BookPolicy policy;
    policy.hall = settings.hall.text();
    policy.loadMultiple = settings.gateway.loadMultiple;
    policy.partRemembered = settings.gateway.partRemembered * 6;
    policy.longestRest = settings.gateway.longestRest;
    return policy;
}

/** How a state of trust is named in counters and logs. */
struct TrustWords
{
    const char *name;
    const char *sentence;
};

TrustWords wordsOf(KeyTrust trust)
{
    switch (trust) {
    case KeyTrust::Fresh:
        return {"fresh", "The configuration is confirmed; keys are honoured."};
    case KeyTrust::Unconfirmed:
        return {"unconfirmed", "The configuration wasn't confirmed in time; keys go on by the last "
                               "one that is known."};
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
    return std::min<kernel::Duration>(settings.listBeat * BeatsToReturn, bound - gathered);
}

World::World(services::Context &context, Adapter adapter)
    : context_(context)
    , adapter_(std::move(adapter))
    , freshness_(usableFor(context.settings.gateway), unconfirmedKeys(context.settings.gateway))
    , servers_(policyOf(context.settings))
    , budget_({context.settings.gateway.retryRatio, context.settings.gateway.retryWindow,
               context.settings.gateway.retrySlack})
{
}

void World::start()
{
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    sources_ = std::make_unique<FeedSources>(context_, fewestRelayed(settings));
    FeedHooks configurationHooks;
    configurationHooks.changed = [this](auto objects) { takeConfiguration(objects); };
    configurationHooks.confirmed = [this](kernel::Instant asOf) {
        if (snapshot_) {
            freshness_.confirm(asOf);
        }
        if (serverFeed_) {
            serverFeed_->hurry();
        }
    };
    configurationFeed_ = std::make_unique<ObjectFeed>(
            context_, adapter_.store, adapter_.configurationKind, configurationPaces(settings),
            *sources_, std::move(configurationHooks));
    FeedHooks serverHooks;
    serverHooks.changed = [this](auto objects) { changeServers(objects); };
    serverHooks.listed = [this](const auto &names) { dropUnlistedServers(names); };
    serverHooks.confirmed = [](kernel::Instant) {};
    // One look of a box whose relays don't help is enough.
    serverHooks.storeAllowed = [this] { return configurationFeed_->heardFromStore(); };
    serverFeed_ =
            std::make_unique<ObjectFeed>(context_, adapter_.store, adapter_.serverKind,
                                         serverPaces(settings), *sources_, std::move(serverHooks));
    servers_.setHallRegions(settings.hallRegions);
    started_ = context_.now();
    followHallDrains();
    sweep_ = std::make_unique<services::PeriodicTask>(context_.io, [this] { return sweep(); });
}

void World::followHallDrains()
{
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    if (settings.hallDrainWithin == 0s || adapter_.hallDrainKind.empty()) {
        return;
    }
    FeedHooks hooks;
    hooks.changed = [this](auto objects) { changeDrains(objects); };
    hooks.listed = [this](const auto &names) { endUnlistedDrains(names); };
    hooks.confirmed = [](kernel::Instant) {};
    hooks.storeAllowed = [this] {
        return configurationFeed_->heardFromStore() && context_.now() - started_ >= DrainsFromHall;
    };
    hallDrainFeed_ =
            std::make_unique<ObjectFeed>(context_, adapter_.store, adapter_.hallDrainKind,
                                         hallDrainPaces(settings), *sources_, std::move(hooks));
}

void World::stop()
{
    sweep_.reset();
    hallDrainFeed_.reset();
    serverFeed_.reset();
    configurationFeed_.reset();
}

ObjectFeed *World::feed(std::string_view kind)
{
    if (configurationFeed_ && kind == adapter_.configurationKind) {
        return configurationFeed_.get();
    }
    if (hallDrainFeed_ && kind == adapter_.hallDrainKind) {
        return hallDrainFeed_.get();
    }
    return serverFeed_ && kind == adapter_.serverKind ? serverFeed_.get() : nullptr;
}

std::size_t World::largestRelayed() const
{
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    return store::largestRelayed(settings.linkMbps, sources_->hallBoxes(),
                                 kernel::seconds(settings.applyWithin) * RelayedWithinPart);
}

bool World::stoodStill() const
{
    return caughtUpAt_ && context_.now() - *caughtUpAt_ >= SweepEvery + Standstill;
}

asio::awaitable<void> World::catchUp()
{
    if (!catchingUp_ && !stoodStill()) {
        co_return;
    }
    catchingUp_ = true;
    for (int turns = 0; turns < MostTurns && catchingUp_; ++turns) {
        // First, as bytes may have been taken from the socket and wait for their handler.
        co_await asio::post(context_.io, asio::use_awaitable);
        const bool drainsBehind = hallDrainFeed_ && hallDrainFeed_->behind();
        catchingUp_ = catchingUp_ && serverFeed_ && (serverFeed_->behind() || drainsBehind);
    }
    catchingUp_ = false;
    caughtUpAt_ = context_.now();
}

asio::awaitable<kernel::Duration> World::sweep()
{
    co_await catchUp();
    caughtUpAt_ = context_.now();
    servers_.noteAwake(*caughtUpAt_);
    dropMissing();
    coldStarts_.expire(*caughtUpAt_);
    noteFreshness();
    co_return kernel::Duration(SweepEvery);
}

void World::applySettings()
{
    const kernel::GatewaySettings &settings = context_.settings.gateway;
    freshness_.setPolicy(usableFor(settings), unconfirmedKeys(settings));
    sources_->setFewest(fewestRelayed(settings));
    configurationFeed_->setPaces(configurationPaces(settings));
    serverFeed_->setPaces(serverPaces(settings));
    if (hallDrainFeed_) {
        hallDrainFeed_->setPaces(hallDrainPaces(settings));
    }
    budget_.setBound({settings.retryRatio, settings.retryWindow, settings.retrySlack});
}

bool World::ready() const
{
    return snapshot_ && serversKnown_ && freshness_.usable(context_.now());
}

// Of several versions in one answer only the newest is read: each may hold thousands of routes, and
// requests wait while one is read.
void World::takeConfiguration(std::span<const store::StoredObject> objects)
{
    for (const store::StoredObject &object : objects | std::views::reverse) {
        if (object.name == adapter_.configurationName && !object.gone
            && readConfiguration(object)) {
            return;
        }
    }
}

bool World::readConfiguration(const store::StoredObject &object)
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

// An entry that can't be read names no server, also where an earlier one did.
void World::takeServer(const store::StoredObject &object)
{
    const auto entry = adapter_.readServer(object);
    if (entry) {
        takeEntry(*entry);
        return;
    }
    context_.counters.add("servers_unreadable");
    log().event("server-unreadable", {{"server", object.name}, {"why", entry.error()}},
                "The entry of a backend server can't be read; it names none.");
    if (servers_.find(object.name)) {
        missServer(object.name);
    }
}

void World::takeEntry(const forward::ServerEntry &entry)
{
    const forward::ListedServer server = servers_.known(entry.server);
    const kernel::Instant now = context_.now();
    const auto known = servers_.find(server.id);
    if (known && known->born && server.born && *known->born > *server.born) {
        context_.counters.add("servers_born_before");
        return;
    }
    missing_.erase(server.id);
    const bool newLife = known && known->born != server.born;
    if (newLife) {
        // Nothing that is known of the earlier life holds for this one.
        dropServer(server.id);
    }
    if (!known && !server.leaving) {
        ++newServers_;
    }
    const bool told = newServers_ <= MostNewTold || server.leaving || known;
    if (told && (!known || *known != server)) {
        log().event("server-listed",
                    {{"server", server.id},
                     {"service", server.service},
                     {"address", kernel::text(server.address)},
                     {"cold_ms", entry.coldFor / 1ms},
                     {"leaving", server.leaving}},
                    server.leaving ? "A backend server leaves." : "A backend server takes work.");
    }
    if (serversKnown_ && (!known || newLife)) {
        coldStarts_.noteStarted(server.hash(), now);
    }
    coldStarts_.noteTold(server.hash(), entry.coldFor, now);
    servers_.put(server, serversKnown_ ? now : kernel::Instant());
}

void World::addDrain(const store::StoredObject &object, std::set<std::string> &halls)
{
    const auto hall = adapter_.readHallDrain(object);
    if (hall) {
        halls.insert(*hall);
        return;
    }
    context_.counters.add("hall_drains_unreadable");
    log().event("hall-drain-unreadable", {{"object", object.name}, {"why", hall.error()}},
                "The drain of a hall can't be read; it drains none.");
}

void World::endUnlistedDrains(const std::set<std::string> &listed)
{
    std::set<std::string> halls = drainedHalls_;
    std::erase_if(halls, [&](const std::string &hall) { return !listed.contains(hall); });
    setDrainedHalls(std::move(halls));
}

void World::changeDrains(std::span<const store::StoredObject> objects)
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

// The servers of a hall that takes work again may have turned cold meanwhile.
void World::setDrainedHalls(std::set<std::string> halls)
{
    const kernel::Instant now = context_.now();
    for (const std::string &hall : halls) {
        if (!drainedHalls_.contains(hall)) {
            context_.counters.add("halls_drained");
            log().event("hall-drained", {{"hall", hall}}, "A hall gets nothing new.");
        }
    }
    for (const std::string &hall : drainedHalls_) {
        if (halls.contains(hall)) {
            continue;
        }
        log().event("hall-returned", {{"hall", hall}}, "A hall takes work again.");
        servers_.forEach([&](const forward::ListedServer &server) {
            if (server.hall == hall) {
                coldStarts_.noteStarted(server.hash(), now);
            }
        });
    }
    drainedHalls_ = halls;
    servers_.setDrainedHalls(std::move(halls));
}

void World::dropUnlistedServers(const std::set<std::string> &listed)
{
    std::vector<std::string> unlisted;
    servers_.forEach([&](const forward::ListedServer &server) {
        if (!listed.contains(server.id)) {
            unlisted.push_back(server.id);
        }
    });
    for (const std::string &id : unlisted) {
        missServer(id);
    }
    serversKnown_ = true;
}

void World::changeServers(std::span<const store::StoredObject> objects)
{
    newServers_ = 0;
    for (const store::StoredObject &object : objects) {
        if (object.gone) {
            missServer(object.name);
        } else {
            takeServer(object);
        }
    }
    if (newServers_ > MostNewTold) {
        log().event("servers-listed", {{"new", newServers_}, {"last", objects.back().name}},
                    "Many backend servers are new; the first of them have lines of their own.");
    }
}

// An entry may go because the store didn't hear its server while it was away. Then the server is
// kept for as long as it needs to be listed again.
void World::missServer(const std::string &id)
{
    if (missing_.contains(id)) {
        return;
    }
    const kernel::Instant now = context_.now();
    const auto &settings = context_.settings.gateway;
    const auto failure = serverFeed_ ? serverFeed_->lastFailure() : std::nullopt;
    const bool storeWasAway = failure && now - *failure < settings.contact;
    // The time counts from when the store's word came: this process may have stood still since.
    const kernel::Instant told = serverFeed_ ? serverFeed_->told() : now;
    missing_[id] = storeWasAway ? told + keptAfterOutage(settings) : now;
    dropMissing();
}

void World::dropMissing()
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

// What keys are refused for must stand in the log: their requests name only the symptom.
void World::noteFreshness()
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
    const TrustWords words = wordsOf(trust);
    context_.counters.add("freshness_changes", {{"to", words.name}});
    const auto age = freshness_.age(now);
    log().event(words.name,
                {{"config_age_ms", age ? *age / 1ms : -1},
                 {"version", snapshot_ ? snapshot_->version() : 0}},
                words.sentence);
}

void World::dropServer(const std::string &id)
{
    log().event("server-gone", {{"server", id}}, "A backend server is listed no more.");
    const auto gone = servers_.find(id);
    servers_.remove(id);
    for (const auto &called : onServerGone_) {
        if (gone) {
            called(*gone);
        }
    }
}

} // namespace limereel::gateway
