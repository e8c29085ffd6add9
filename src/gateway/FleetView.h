/** \file
 * What a gateway knows of its fleet: the configuration in force and how fresh it is, the backend
 * servers, and the drained halls. All of it comes from the store.
 */
#pragma once

#include "forward/AnswerTimes.h"
#include "forward/CallerTimeouts.h"
#include "forward/ColdStarts.h"
#include "forward/FleetRetryBudget.h"
#include "forward/Freshness.h"
#include "forward/ServerTable.h"
#include "forward/ServiceReach.h"
#include "forward/ShortServices.h"
#include "gateway/ObjectFeed.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace limereel::gateway {

/** Whether API keys are accepted. */
enum class KeyTrust : std::uint8_t {
    Fresh,       ///< The configuration was confirmed recently.
    Unconfirmed, ///< It wasn't, but keys are still accepted.
    Stale        ///< It wasn't, and keys are refused.
};

/**
 * How long a backend server is kept whose entry disappears soon after an outage of the store. The
 * entry may have expired because the store missed the server's heartbeats, and is then back after
 * some beats. It may also have been removed because the server shuts down, so this time and the
 * time for which changes are collected stay within three quarters of the bound in which a server
 * that shuts down must get its last request.
 */
kernel::Duration keptAfterOutage(const kernel::GatewaySettings &settings);

/** How much of a list has been read. */
enum class ListRead : std::uint8_t { None, Part, Whole };

/** Follows the store and keeps the resulting view of the fleet. */
class FleetView : public kernel::Service
{
public:
    FleetView(services::Context &context, Adapter adapter);

    std::string_view name() const override { return "world"; }
    void start() override;
    void stop() override;

    const Adapter &adapter() const { return adapter_; }

    /** The feed of the objects of \a kind, or nullptr if none is followed. */
    ObjectFeed *feed(std::string_view kind);

    /** Size in bytes of the largest object that this box passes on to other boxes of its hall. */
    std::size_t largestRelayed() const;

    /** The configuration in force; nullptr before the first one. */
    const forward::SnapshotPtr &snapshot() const { return snapshot_; }

    const forward::Freshness &freshness() const { return freshness_; }
    forward::ServerTable &servers() { return servers_; }
    forward::FleetRetryBudget &budget() { return budget_; }
    forward::ColdStarts &coldStarts() { return coldStarts_; }
    forward::ShortServices &shortServices() { return shortServices_; }
    forward::ServiceReach &reach() { return reach_; }
    forward::AnswerTimes &answerTimes() { return answerTimes_; }
    forward::CallerTimeouts &callerTimeouts() { return callerTimeouts_; }

    /**
     * After a stall of this process, lets the event loop process what the store has sent about
     * backend servers and drained halls; otherwise returns at once. To be awaited before using the
     * list: a server may have shut down or come back while the process stalled.
     */
    boost::asio::awaitable<void> catchUp();

    /** Applies changed bounds of the settings. */
    void applySettings();

    /** Whether requests can be served: configuration and servers known, keys accepted. */
    bool ready() const;

    /** Whether this box reaches none of the service's backend servers, as far as it knows. */
    bool isLost(const std::string &service) const;

    /** Adds a callback for each new configuration. */
    void onConfiguration(std::function<void(const forward::Snapshot &)> called)
    {
        onConfiguration_.push_back(std::move(called));
    }

    /** Adds a callback for each backend server that is no longer listed. */
    void onServerGone(std::function<void(const forward::ListedServer &)> called)
    {
        onServerGone_.push_back(std::move(called));
    }

private:
    void applyConfiguration(std::span<const store::StoredObject> objects);
    bool readConfiguration(const store::StoredObject &object);
    void changeServers(std::span<const store::StoredObject> objects);
    void dropUnlistedServers(const std::set<std::string> &listed);
    void applyServer(const store::StoredObject &object);
    void applyEntry(const forward::ServerEntry &entry);
    void changeDrains(std::span<const store::StoredObject> objects);
    void endUnlistedDrains(const std::set<std::string> &listed);
    void addDrain(const store::StoredObject &object, std::set<std::string> &halls);
    void setDrainedHalls(std::set<std::string> halls);
    void followHallDrains();
    void retryOtherFeeds();
    void markMissing(const std::string &id);
    void dropServer(const std::string &id);
    bool stalled() const;
    boost::asio::awaitable<kernel::Duration> sweep();
    void dropMissing();
    void noteFreshness();
    void noteLostServices();

    services::Context &context_;
    Adapter adapter_;
    forward::SnapshotPtr snapshot_;
    forward::Freshness freshness_;
    forward::ServerTable servers_;
    forward::FleetRetryBudget budget_;
    forward::ColdStarts coldStarts_;
    forward::ShortServices shortServices_;
    forward::ServiceReach reach_;
    std::set<std::string> lostServices_; ///< Those that were last logged.
    forward::AnswerTimes answerTimes_;
    forward::CallerTimeouts callerTimeouts_;
    std::set<std::string> drainedHalls_;
    kernel::Instant started_;
    KeyTrust trust_ = KeyTrust::Stale; ///< The state that was last logged.
    bool catchingUp_ = false;          ///< Set after a stall until the list is up to date.
    std::optional<kernel::Instant> caughtUpAt_;
    ListRead serversRead_ = ListRead::None; ///< The most that was read at once.
    std::size_t newServers_ = 0; ///< Number of new servers in the answer being processed.
    std::map<std::string, kernel::Instant> missing_; ///< No longer listed; when to remove them.
    std::vector<std::function<void(const forward::Snapshot &)>> onConfiguration_;
    std::vector<std::function<void(const forward::ListedServer &)>> onServerGone_;
    std::unique_ptr<FeedSources> sources_;
    std::unique_ptr<ObjectFeed> configurationFeed_;
    std::unique_ptr<ObjectFeed> serverFeed_;
    std::unique_ptr<ObjectFeed> hallDrainFeed_; ///< nullptr if draining of halls is off.
    std::unique_ptr<services::PeriodicTask> sweep_;
};

} // namespace limereel::gateway
