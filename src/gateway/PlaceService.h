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
#include "gateway/World.h"
#include "peer/Messages.h"
#include "services/MembershipService.h"

#include <boost/asio/steady_timer.hpp>
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

    /** Asks for a place at \a server for a prompt whose shared parts have \a partsKey. */
    boost::asio::awaitable<PlaceOutcome> take(forward::ListedServer server, std::uint64_t partsKey);

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
    std::map<std::uint64_t, int> silences_;                     ///< In a row, by owner.
    std::unique_ptr<services::Repeat> sweep_;
};

} // namespace limereel::gateway
