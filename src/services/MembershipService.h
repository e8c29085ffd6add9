/** \file
 * Sends and receives the heartbeats of a box, and keeps track of the other boxes of the hall and
 * their addresses.
 */
#pragma once

#include "membership/HeartbeatTable.h"
#include "peer/Messages.h"
#include "services/Context.h"
#include "services/PeriodicTask.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limereel::services {

/** How a box finds the other boxes. */
struct PeerDiscovery
{
    /** The boxes in the list from the platform; no boxes by default. */
    std::function<std::vector<kernel::KnownBox>()> listed = [] {
        return std::vector<kernel::KnownBox>();
    };

    /** Addresses of boxes that may know further boxes. If there are any, each box sends its own
     * address in its heartbeats. */
    std::vector<kernel::Endpoint> seeds;
};

/** Heartbeats and addresses. */
class MembershipService : public kernel::Service
{
public:
    MembershipService(Context &context, PeerDiscovery discovery);

    std::string_view name() const override { return "membership"; }
    void start() override;
    void stop() override;

    /** Adds a callback that completes the box's own state before each heartbeat. */
    void beforeHeartbeat(std::function<void(membership::BoxState &)> callback)
    {
        stateCallbacks_.push_back(std::move(callback));
    }

    /** Adds a callback that runs after each heartbeat. */
    void afterHeartbeat(std::function<void()> callback)
    {
        heartbeatCallbacks_.push_back(std::move(callback));
    }

    /** Adds a callback that runs when a heartbeat has brought newer states of other boxes. */
    void onNewStates(std::function<void()> callback)
    {
        newStateCallbacks_.push_back(std::move(callback));
    }

    std::uint64_t self() const { return table_.self().box; }

    /** The boxes that may own something now, sorted. The result is cached for some milliseconds, as
     * each request needs it several times, and is updated at each heartbeat. The reference is valid
     * until the next call. */
    const std::vector<std::uint64_t> &owners() const;

    /** The states of all boxes that aren't dead. */
    std::vector<membership::BoxState> states() const { return table_.liveStates(context_.now()); }

    membership::Liveness liveness(std::uint64_t box) const
    {
        return table_.liveness(box, context_.now());
    }

    /** The address at which \a box receives messages from other boxes; nothing if it isn't known.
     */
    std::optional<kernel::Endpoint> addressOf(std::uint64_t box) const;

    /** The name of \a box for logs and status; its hash in hexadecimal digits if no name is known.
     */
    std::string nameOf(std::uint64_t box) const;

    /** Notes that \a box doesn't answer. */
    void noteUnreachable(std::uint64_t box);

    /** Announces to all boxes that this box leaves. */
    void leave();
    bool leaving() const { return leaving_; }

    /** Sends the next heartbeat at once, for a change that shouldn't wait. */
    void hurry();

private:
    boost::asio::awaitable<kernel::Duration> round();
    void addListedBoxes();
    void contactSeeds();
    void contactOneDeadBox();
    void sendMissingStates(const peer::Heartbeat &heartbeat, const kernel::Endpoint &from);
    void learnAddress(const membership::BoxState &state);
    void receive(const peer::Heartbeat &heartbeat, const kernel::Endpoint &from);
    void invalidateOwners() { ownersAt_.reset(); }

    Context &context_;
    PeerDiscovery discovery_;
    std::uint64_t roundCount_ = 0;
    membership::HeartbeatTable table_;
    mutable std::vector<std::uint64_t> owners_;
    mutable std::optional<kernel::Instant>
            ownersAt_; ///< When they were computed; nothing: they have to be computed anew.
    std::unordered_map<std::uint64_t, kernel::Endpoint> addresses_;
    std::unordered_map<std::uint64_t, std::string> names_;
    std::vector<std::function<void(membership::BoxState &)>> stateCallbacks_;
    std::vector<std::function<void()>> heartbeatCallbacks_;
    std::vector<std::function<void()>> newStateCallbacks_;
    bool leaving_ = false;
    std::unique_ptr<PeriodicTask> loop_;
};

} // namespace limereel::services
