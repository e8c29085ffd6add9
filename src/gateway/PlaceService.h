/** \file
 * Asks the owner of an engine for a place there, and answers for the engines that this box owns.
 *
 * The owner of an engine is found by rendezvous hashing over the live boxes. One that doesn't
 * answer in time is passed over: the asker then decides on what it knows itself.
 */
#pragma once

#include "forward/FleetMemory.h"
#include "forward/HolderIndex.h"
#include "forward/PlaceLedger.h"
#include "forward/RecentCount.h"
#include "forward/StartLedger.h"
#include "gateway/World.h"
#include "peer/Messages.h"
#include "services/MembershipService.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace limereel::gateway {

/** A place that was granted, or taken without an owner's word. */
struct Place
{
    std::uint64_t request = 0;
    std::uint64_t engine = 0;
    std::uint64_t owner = 0; ///< 0: no owner granted it.
    std::uint64_t asked = 0; ///< The box that may count it, whether its answer came or not.
};

/** What came of asking for a place. */
struct PlaceOutcome
{
    std::optional<Place> place; ///< Nothing if the owner says that the engine is full.
    std::vector<membership::ShortHash> holders; ///< Engines that hold the prompt's shared parts.
    bool cold = false; ///< Nothing was granted as the server is cold and has had its share.
};

/** Where the shared parts of a prompt lie, as the one box says that remembers it for all. */
struct PartsWord
{
    std::vector<membership::ShortHash> holders;   ///< Engines that lately got all of them.
    std::vector<membership::ShortHash> beginners; ///< Engines that lately got the first one.
};

/** The service. */
class PlaceService : public kernel::Service
{
public:
    PlaceService(services::Context &context, World &world);

    std::string_view name() const override { return "places"; }
    void start() override;
    void stop() override;

    /**
     * Asks for a place at \a server for a prompt whose shared parts have \a partsKey. Where the
     * server is cold this is also leave to send it one more request; without an owner's word the
     * box's own part of that is taken.
     */
    boost::asio::awaitable<PlaceOutcome> take(forward::ListedServer server, std::uint64_t partsKey);

    /** Asks for leave to send one more request to a plain server that may be cold. */
    boost::asio::awaitable<bool> takeStart(forward::ListedServer server);

    /** Tells the owner of \a first, whom all boxes ask first for these parts, that they lie at
     * \a server from now on. */
    void tellHolder(const forward::ListedServer &first, const forward::ListedServer &server,
                    std::uint64_t partsKey);

    /**
     * Asks the box that remembers it for all where the shared parts of \a prompt lie. The owner of
     * an engine knows it only of prompts that ask for that engine first: when engines come or go,
     * others come first. That box is the owner of the first part, by rendezvous hashing.
     */
    boost::asio::awaitable<PartsWord> askForParts(const forward::Prompt &prompt);

    /** Tells that box that the parts lie at \a server from now on. */
    void tellParts(const forward::Prompt &prompt, const forward::ListedServer &server);

    void giveBack(const Place &place);

private:
    struct Pending
    {
        boost::asio::steady_timer timer;
        std::optional<peer::PermitAnswer> answer;
    };

    forward::FleetSize fleetFor(std::uint64_t engine) const;
    forward::FleetPart fleetPart(std::uint64_t server);
    bool ownedForLong(std::uint64_t server) const;
    void noteOwners();
    boost::asio::awaitable<std::optional<peer::PermitAnswer>> askAny(peer::AskPermit ask);
    peer::AskPermit askOf(const forward::ListedServer &server, peer::AskKind kind) const;
    void takeAnswer(const forward::ListedServer &server, const peer::PermitAnswer &answer,
                    PlaceOutcome &outcome);
    bool startsAlone(const forward::ListedServer &server);
    double coldRate(const peer::AskPermit &ask);
    bool grantsStart(const peer::AskPermit &ask, double perSecond);
    peer::PermitAnswer decideStart(const peer::AskPermit &ask);
    peer::PermitAnswer nameHolders(const peer::AskPermit &ask) const;
    peer::PermitAnswer decide(const peer::AskPermit &ask);
    void receive(const peer::Message &message, const kernel::Endpoint &from);
    boost::asio::awaitable<std::optional<peer::PermitAnswer>> askOwner(std::uint64_t owner,
                                                                       peer::AskPermit ask);
    void tellKeyOwner(std::uint64_t home, std::uint64_t partsKey,
                      const forward::ListedServer &server);
    void noteSilent(std::uint64_t owner);
    std::uint32_t countAsk(const std::string &service);

    services::Context &context_;
    World &world_;
    forward::PlaceLedger ledger_;
    forward::HolderIndex holders_;
    std::map<std::string, forward::RecentCount> asks_;          ///< Of this box, by service.
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_; ///< By request.
    forward::FleetMemory fleet_;                                ///< Divides the retry budget.
    forward::StartLedger starts_;                               ///< Of cold servers.
    forward::FleetMemory startFleet_;                           ///< Divides the leave to start.
    std::deque<std::vector<std::uint64_t>> ownersBefore_;       ///< A view a second, newest last.
    std::map<std::uint64_t, int> silences_;                     ///< In a row, by owner.
    std::unique_ptr<services::PeriodicTask> sweep_;
};

} // namespace limereel::gateway
