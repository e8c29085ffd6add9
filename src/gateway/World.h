/** \file
 * What a gateway knows of the world outside: the configuration in force and how fresh it is, the
 * backend servers, and the halls that are drained. Fed by the store.
 */
#pragma once

#include "forward/ColdStarts.h"
#include "forward/FleetRetryBudget.h"
#include "forward/Freshness.h"
#include "forward/ServerBook.h"
#include "gateway/ObjectFeed.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace limereel::gateway {

/** How far API keys are trusted. */
enum class KeyTrust : std::uint8_t {
    Fresh,       ///< The configuration was confirmed lately.
    Unconfirmed, ///< It wasn't; keys are honoured all the same.
    Stale        ///< It wasn't; keys are refused.
};

/**
 * How long a backend server is kept whose entry has gone soon after the store had been away: an
 * entry may lapse because the store didn't hear its server, and is back after some beats. It may
 * also have gone because the server leaves, so this and the time that changes are gathered for stay
 * within three quarters of the bound in which a leaving server must get its last request.
 */
kernel::Duration keptAfterOutage(const kernel::GatewaySettings &settings);

/** The service that follows the store. */
class World : public kernel::Service
{
public:
    World(services::Context &context, Adapter adapter);

    std::string_view name() const override { return "world"; }
    void start() override;
    void stop() override;

    const Adapter &adapter() const { return adapter_; }

    /** The feed of the objects of \a kind, or nullptr if none is followed. */
    ObjectFeed *feed(std::string_view kind);

    /** Bytes of the largest object that this box passes on to those of its hall. */
    std::size_t largestRelayed() const;

    /** The configuration in force; nullptr before the first one. */
    const forward::SnapshotPtr &snapshot() const { return snapshot_; }

    const forward::Freshness &freshness() const { return freshness_; }
    forward::ServerBook &servers() { return servers_; }
    forward::FleetRetryBudget &budget() { return budget_; }
    forward::ColdStarts &coldStarts() { return coldStarts_; }

    /**
     * Lets the loop take in what the store has told of backend servers and still lies unread; at
     * once, but after a standstill. To be awaited before acting on the list: a server may have
     * left, or come back, while this process stood still.
     */
    boost::asio::awaitable<void> catchUp();

    /** Takes the bounds of the settings anew. */
    void applySettings();

    /** Whether requests can be served: configuration and list are known, keys are honoured. */
    bool ready() const;

    /** Adds something that is called with each new configuration. */
    void onConfiguration(std::function<void(const forward::Snapshot &)> called)
    {
        onConfiguration_.push_back(std::move(called));
    }

    /** Adds something that is called when a backend server is listed no more. */
    void onServerGone(std::function<void(const forward::ListedServer &)> called)
    {
        onServerGone_.push_back(std::move(called));
    }

private:
    void takeConfiguration(std::span<const store::StoredObject> objects);
    bool readConfiguration(const store::StoredObject &object);
    void changeServers(std::span<const store::StoredObject> objects);
    void dropUnlistedServers(const std::set<std::string> &listed);
    void takeServer(const store::StoredObject &object);
    void takeEntry(const forward::ServerEntry &entry);
    void changeDrains(std::span<const store::StoredObject> objects);
    void endUnlistedDrains(const std::set<std::string> &listed);
    void addDrain(const store::StoredObject &object, std::set<std::string> &halls);
    void setDrainedHalls(std::set<std::string> halls);
    void followHallDrains();
    void missServer(const std::string &id);
    void dropServer(const std::string &id);
    bool stoodStill() const;
    boost::asio::awaitable<kernel::Duration> sweep();
    void dropMissing();
    void noteFreshness();

    services::Context &context_;
    Adapter adapter_;
    forward::SnapshotPtr snapshot_;
    forward::Freshness freshness_;
    forward::ServerBook servers_;
    forward::FleetRetryBudget budget_;
    forward::ColdStarts coldStarts_;
    std::set<std::string> drainedHalls_;
    kernel::Instant started_;
    KeyTrust trust_ = KeyTrust::Stale; ///< As it was last logged.
    bool catchingUp_ = false;          ///< After a standstill, while the list may lie unread.
    std::optional<kernel::Instant> caughtUpAt_;
    bool serversKnown_ = false;
    std::size_t newServers_ = 0;                     ///< In the answer that is taken in.
    std::map<std::string, kernel::Instant> missing_; ///< Listed no more; dropped when it is time.
    std::vector<std::function<void(const forward::Snapshot &)>> onConfiguration_;
    std::vector<std::function<void(const forward::ListedServer &)>> onServerGone_;
    std::unique_ptr<FeedSources> sources_;
    std::unique_ptr<ObjectFeed> configurationFeed_;
    std::unique_ptr<ObjectFeed> serverFeed_;
    std::unique_ptr<ObjectFeed> hallDrainFeed_; ///< Nothing where halls aren't drained.
    std::unique_ptr<services::PeriodicTask> sweep_;
};

} // namespace limereel::gateway
