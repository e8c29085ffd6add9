/** \file
 * Asks the owner of an engine for a place, which is a lease on one slot of the engine, and passes
 * the asks of other boxes on to this box's own PlaceOwner.
 *
 * The owner of an engine is found by rendezvous hashing over the live boxes. If the owner doesn't
 * answer in time, the asking box decides on what it knows itself.
 */
#pragma once

#include "forward/FleetSizeEstimate.h"
#include "forward/RecentCount.h"
#include "gateway/PlaceOwner.h"
#include "peer/Messages.h"
#include "services/MembershipService.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>

namespace limereel::gateway {

/** A lease on one slot of an engine, granted by its owner or taken without the owner's answer. */
struct Place
{
    std::uint64_t request = 0;
    std::uint64_t engine = 0;
    std::uint64_t owner = 0; ///< The box that granted it; 0: none did.
    std::uint64_t asked = 0; ///< The box asked; may count it even if its answer was lost.
};

/** The result of asking for a place. */
struct PlaceOutcome
{
    std::optional<Place> place;                 ///< Empty if the owner refused it.
    std::vector<membership::ShortHash> holders; ///< Engines that hold the prompt's shared parts.
    bool cold = false; ///< Refused because the server is cold and has reached its limit.
};

/** Which engines hold the shared parts of a prompt, according to the box that keeps their index. */
struct PromptPartHolders
{
    std::vector<membership::ShortHash> holders;   ///< Engines that recently received all of them.
    std::vector<membership::ShortHash> beginners; ///< Engines that recently received the first one.
};

/** Asks for places and answers the asks of other boxes. */
class PlaceService : public kernel::Service
{
public:
    PlaceService(services::Context &context, FleetView &fleetView);

    std::string_view name() const override { return "places"; }
    void start() override;
    void stop() override;

    /**
     * Asks for a place at \a server for a prompt whose shared parts have the key \a partsKey. If
     * the server is cold, a granted place also permits sending it one more request; if the owner
     * doesn't answer, this box uses its own share of the cold server's limit.
     */
    boost::asio::awaitable<PlaceOutcome> acquire(forward::ListedServer server,
                                                 std::uint64_t partsKey);

    /** Asks for permission to send one more request to a plain server that may be cold. */
    boost::asio::awaitable<bool> acquireColdSend(forward::ListedServer server);

    /** Tells the owner of \a first, the engine that all boxes try first for these parts, that
     * \a server holds them from now on. */
    void reportHolder(const forward::ListedServer &first, const forward::ListedServer &server,
                      std::uint64_t partsKey);

    /**
     * Asks which engines hold the shared parts of \a prompt. The box that keeps the index of them
     * is the owner of the first part, by rendezvous hashing. The owner of an engine isn't enough:
     * it knows only the prompts for which this engine is tried first, and that changes whenever
     * engines are added or removed.
     */
    boost::asio::awaitable<PromptPartHolders> findPartHolders(const forward::Prompt &prompt);

    /** Tells the box that keeps the index that \a server holds the parts from now on. */
    void reportParts(const forward::Prompt &prompt, const forward::ListedServer &server);

    void giveBack(const Place &place);

private:
    struct Pending
    {
        boost::asio::steady_timer timer;
        std::optional<peer::PermitAnswer> answer;
    };

    boost::asio::awaitable<std::optional<peer::PermitAnswer>> askOwnerOf(peer::AskPermit ask);
    peer::AskPermit askOf(const forward::ListedServer &server, peer::AskKind kind) const;
    void applyAnswer(const forward::ListedServer &server, const peer::PermitAnswer &answer,
                     PlaceOutcome &outcome);
    void receive(const peer::Message &message, const kernel::Endpoint &from);
    boost::asio::awaitable<std::optional<peer::PermitAnswer>> askOwner(std::uint64_t owner,
                                                                       peer::AskPermit ask);
    void reportToKeyOwner(std::uint64_t home, std::uint64_t partsKey,
                          const forward::ListedServer &server);
    void noteSilent(std::uint64_t owner);
    std::uint32_t countAsk(const std::string &service);

    services::Context &context_;
    FleetView &fleetView_;
    PlaceOwner owner_;
    std::map<std::string, forward::RecentCount> asks_; ///< Recent asks of this box, by service.
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_; ///< Unanswered asks, by request.
    forward::FleetSizeEstimate fleet_;      ///< Number of boxes that share the retry budget.
    std::map<std::uint64_t, int> silences_; ///< Unanswered asks in a row, by owner.
    std::unique_ptr<services::PeriodicTask> sweep_;
};

} // namespace limereel::gateway
