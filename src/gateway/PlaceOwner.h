/** \file
 * The decisions of a box as the owner of backend servers and of prompt parts: which requests for a
 * place at an engine are granted, how many requests a cold server gets, and which engines hold a
 * prompt's parts.
 *
 * The owner is found by rendezvous hashing over the live boxes. PlaceService asks it and passes the
 * messages of other boxes on to it.
 */
#pragma once

#include "forward/ColdRateLimiter.h"
#include "forward/FleetSizeEstimate.h"
#include "forward/HolderIndex.h"
#include "forward/PlaceLedger.h"
#include "gateway/FleetView.h"
#include "peer/Messages.h"

#include <deque>
#include <vector>

namespace limereel::gateway {

/** The reason of a suggestion: the engine recently received all shared parts of the prompt. */
constexpr std::uint8_t HoldsAllParts = 0;
/** The reason of a suggestion: the engine recently received the first part. */
constexpr std::uint8_t HoldsFirstPart = 1;

/** What a box decides as an owner, for other boxes and for itself alike. */
class PlaceOwner
{
public:
    PlaceOwner(services::Context &context, FleetView &fleetView);

    peer::PermitAnswer decide(const peer::AskPermit &ask);

    /** Decides whether this box may send one more request to \a server, which may be cold, when the
     * server's owner doesn't answer. */
    bool grantStartAlone(const forward::ListedServer &server);

    void giveBack(std::uint64_t engine, std::uint64_t request);

    /** Records that \a engine holds the prompt parts with this key. */
    void noteHolder(std::uint64_t partsKey, membership::ShortHash engine);

    /** Ends leases and forgets old reports; to be called every second. */
    void sweep();

private:
    forward::FleetSize fleetFor(std::uint64_t engine) const;
    forward::FleetPart fleetPart(std::uint64_t server);
    bool isSoleOwner(std::uint64_t server) const;
    void sampleOwners();
    double coldRate(const peer::AskPermit &ask);
    bool grantsStart(const peer::AskPermit &ask, double perSecond);
    peer::PermitAnswer decideStart(const peer::AskPermit &ask);
    peer::PermitAnswer findHolders(const peer::AskPermit &ask) const;

    services::Context &context_;
    FleetView &fleetView_;
    forward::PlaceLedger ledger_;
    forward::HolderIndex holders_;
    forward::ColdRateLimiter starts_;       ///< Requests granted to cold servers.
    forward::FleetSizeEstimate startFleet_; ///< Number of boxes that share a cold server's limit.
    std::deque<std::vector<std::uint64_t>> ownerSamples_; ///< A sample a second, newest last.
};

} // namespace limereel::gateway
