/** \file
 * The decisions of a box as the owner of backend servers and of prompt parts: which requests for a
 * place at an engine are granted, how many requests a cold server gets, and which engines hold a
 * prompt's parts.
 *
 * The owner is found by rendezvous hashing over the live boxes. PlaceService asks it and passes the
 * messages of other boxes on to it.
 *
 * Where admission control is enabled, an admission::PlaceBook decides which requests get a place,
 * wait for one or are refused, and the PlaceLedger only supplies the load bound of an engine.
 */
#pragma once

#include "admission/PlaceBook.h"
#include "forward/ColdRateLimiter.h"
#include "forward/FleetSizeEstimate.h"
#include "forward/HolderIndex.h"
#include "forward/PlaceLedger.h"
#include "gateway/FleetView.h"
#include "peer/Messages.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limereel::gateway {

/** The reason of a suggestion: the engine recently received all shared parts of the prompt. */
constexpr std::uint8_t HoldsAllParts = 0;
/** The reason of a suggestion: the engine recently received the first part. */
constexpr std::uint8_t HoldsFirstPart = 1;

/** The end of a place, or of the wait for one. */
struct PlaceReturn
{
    std::uint64_t request = 0;
    std::uint64_t engine = 0;
    bool unused = false;   ///< Nothing was sent to the server.
    bool rejected = false; ///< The server rejected the request for lack of room.
};

/** What a box decides as an owner, for other boxes and for itself alike. */
class PlaceOwner
{
public:
    /** Delivers the second answer to an ask that was queued. \param to the box that asked; nothing:
     * this box. */
    using Deliver = std::function<void(const peer::PermitAnswer &answer,
                                       const std::optional<kernel::Endpoint> &to)>;

    PlaceOwner(services::Context &context, FleetView &fleetView, Deliver deliver);

    /** Decides an ask. \param from the address of the box that asks; nothing: this box. Once the
     * answer has been passed on, settle() has to be called. */
    peer::PermitAnswer decide(const peer::AskPermit &ask,
                              const std::optional<kernel::Endpoint> &from);

    /** Decides on queued asks, and again every 10 ms while there are any. */
    void settle();

    /** Refuses all queued asks and queues no more: the box is about to stop. */
    void beginLeaving();

    /** Ends the timer. */
    void stop() { settleTimer_.cancel(); }

    /** Decides whether this box may send one more request to \a server, which may be cold, when the
     * server's owner doesn't answer. */
    bool grantStartAlone(const forward::ListedServer &server);

    /** Ends a place, or withdraws a queued ask. */
    void giveBack(const PlaceReturn &returned);

    /** Records that \a engine holds the prompt parts with this key. */
    void noteHolder(std::uint64_t partsKey, membership::ShortHash engine);

    /** Ends leases and forgets old reports; to be called every second. */
    void sweep();

private:
    /** An ask that waits for its second answer. */
    struct QueuedAsk
    {
        peer::AskPermit ask;
        std::optional<kernel::Endpoint> from;
    };

    /** The load of a server, and the most that is granted there. */
    struct LoadAndBound
    {
        std::uint32_t load = 0;
        double bound = 0;
    };

    bool admits() const { return context_.settings.gateway.admission; }
    peer::PermitAnswer decideByLedger(const peer::AskPermit &ask);
    peer::PermitAnswer decideByBook(const peer::AskPermit &ask,
                                    const std::optional<kernel::Endpoint> &from);
    peer::PermitAnswer answerOf(const admission::Decision &decision, const peer::AskPermit &ask);
    void suggestHolders(const peer::AskPermit &ask, peer::PermitAnswer &reply);
    bool aboveBound(const peer::AskPermit &ask);
    void logAboveBound(const peer::AskPermit &ask, const forward::FleetSize &fleet,
                       const LoadAndBound &found) const;
    void refuseStart(const peer::AskPermit &ask, peer::PermitAnswer &reply);
    void deliver(const std::vector<admission::Decision> &decisions);
    void armSettleTimer();
    void dropGoneBoxes();
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
    Deliver deliver_;
    forward::PlaceLedger ledger_;
    admission::PlaceBook book_;
    std::unordered_map<std::uint64_t, QueuedAsk> queued_; ///< By request.
    /** The boxes that asked for places, and whether they were live at the last sweep. */
    std::unordered_map<std::uint64_t, bool> askingBoxes_;
    boost::asio::steady_timer settleTimer_;
    bool settleArmed_ = false;
    bool leaving_ = false;
    forward::HolderIndex holders_;
    forward::ColdRateLimiter starts_;       ///< Requests granted to cold servers.
    forward::FleetSizeEstimate startFleet_; ///< Number of boxes that share a cold server's limit.
    std::deque<std::vector<std::uint64_t>> ownerSamples_; ///< A sample a second, newest last.
};

} // namespace limereel::gateway
