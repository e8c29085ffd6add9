/** \file
 * Runs the heartbeats of a box and knows the other boxes of the hall and their addresses.
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

/** How a box comes to know the others. */
struct PeerDiscovery
{
    /** The boxes that a list names. */
    std::function<std::vector<kernel::KnownBox>()> listed = [] {
        return std::vector<kernel::KnownBox>();
    };

    /** Addresses at which boxes may be that know others. Where there are any, boxes tell their
     * addresses in their heartbeats. */
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

    /** Adds something that completes the box's own state before each heartbeat. */
    void beforeHeartbeat(std::function<void(membership::BoxState &)> complete)
    {
        complete_.push_back(std::move(complete));
    }

    /** Adds something that runs after each heartbeat. */
    void afterHeartbeat(std::function<void()> beat) { beat_.push_back(std::move(beat)); }

    /** Adds something that runs when a message brought news of other boxes. */
    void onNewStates(std::function<void()> news) { news_.push_back(std::move(news)); }

    std::uint64_t self() const { return table_.self().box; }

    /** The boxes that may own something now, sorted. Kept for some milliseconds, as a request asks
     * several times; what a heartbeat brings is seen at once. Good until the next call. */
    const std::vector<std::uint64_t> &owners() const;

    /** The states of all boxes that aren't dead. */
    std::vector<membership::BoxState> states() const { return table_.liveStates(context_.now()); }

    membership::Liveness liveness(std::uint64_t box) const
    {
        return table_.liveness(box, context_.now());
    }

    /** Where \a box listens for other boxes. */
    std::optional<kernel::Endpoint> addressOf(std::uint64_t box) const;

    /** The name of \a box for logs and status; its hash in hexadecimal digits if no name is known.
     */
    std::string nameOf(std::uint64_t box) const;

    /** Notes that \a box doesn't answer. */
    void noteUnreachable(std::uint64_t box);

    /** Tells everyone that this box leaves. */
    void leave();
    bool leaving() const { return leaving_; }

    /** Sends the next heartbeat now, as there is news. */
    void hurry();

private:
    boost::asio::awaitable<kernel::Duration> round();
    void takeListed();
    void greetSeeds();
    void greetOneGivenUp();
    void introduce(const peer::Heartbeat &heartbeat, const kernel::Endpoint &from);
    void learnAddress(const membership::BoxState &state);
    void receive(const peer::Heartbeat &heartbeat, const kernel::Endpoint &from);
    void forgetOwners() { ownersAt_.reset(); }

    Context &context_;
    PeerDiscovery discovery_;
    std::uint64_t rounds_ = 0;
    membership::HeartbeatTable table_;
    mutable std::vector<std::uint64_t> owners_;
    mutable std::optional<kernel::Instant> ownersAt_; ///< When they were worked out.
    std::unordered_map<std::uint64_t, kernel::Endpoint> addresses_;
    std::unordered_map<std::uint64_t, std::string> names_;
    std::vector<std::function<void(membership::BoxState &)>> complete_;
    std::vector<std::function<void()>> beat_;
    std::vector<std::function<void()>> news_;
    bool leaving_ = false;
    std::unique_ptr<PeriodicTask> loop_;
};

} // namespace limereel::services
