/** \file
 * Asks the owner of a backend server for a place, which is a lease on one of its slots, and passes
 * the asks of other boxes on to this box's own PlaceOwner.
 *
 * The owner of a server is found by rendezvous hashing over the live boxes. If the owner doesn't
 * answer in time, the asking box decides on what it knows itself.
 */
#pragma once

#include "forward/FleetShare.h"
#include "forward/RecentCount.h"
#include "gateway/PlaceAsks.h"
#include "gateway/PlaceOwner.h"
#include "peer/Messages.h"
#include "services/MembershipService.h"

#include <map>
#include <memory>
#include <optional>

namespace limereel::gateway {

/** The result of asking for a place. */
struct PlaceOutcome
{
    std::optional<Place> place;                 ///< Empty if the owner refused it.
    std::vector<membership::ShortHash> holders; ///< Engines that hold the prompt's shared parts.
    bool cold = false; ///< Refused because the server is cold and has reached its limit.
    /** The owner didn't answer; \c place is set, unless the server is cold. */
    bool unanswered = false;
    /** The server has no place for this request. Else, without a place, it is above the load bound.
     */
    bool noPlace = false;
    bool queued = false; ///< The request waited at the owner.
    /** The request was withdrawn while it waited: it was no longer useful, its owner stopped
     * answering, its caller left, or this box stops. */
    bool withdrawn = false;
    kernel::Duration expectedWait{};           ///< For a place there, if it has none.
    kernel::Duration comeBack{};               ///< When the caller should return; zero: not stated.
    std::uint64_t asked = 0;                   ///< The box that was asked; 0: none.
    std::uint32_t load = 0;                    ///< Of the server, as its owner said.
    std::uint32_t limit = 0;                   ///< Places that the owner grants; 0: unknown.
    std::optional<kernel::Instant> answeredAt; ///< When the owner's last answer came.
};

/** What the owner of a server needs to know of a request in order to let it wait. */
struct PlaceTerms
{
    std::uint64_t partsKey = 0;     ///< Key of the prompt's shared parts; 0: there are none.
    std::uint32_t priority = 0;     ///< 0 goes first.
    std::uint64_t organisation = 0; ///< Hash of its name; 0: none.
    std::uint64_t identity = 0;     ///< What it has in common with its repetition.
    kernel::Duration wait{};        ///< How long it can wait and still be answered in time.
    kernel::Duration late{};        ///< How long beyond that it is still of use.
    kernel::Duration lease{};       ///< How long it may hold the place.
    bool askDeputy = false;         ///< Whether the owner's deputy is asked if it doesn't answer.
    PlaceAsks::OnWait onWait;
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

    /** The same where admission control is enabled: the request may wait at the owner. */
    boost::asio::awaitable<PlaceOutcome> acquire(forward::ListedServer server, PlaceTerms terms);

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

    /** Tells the owner that \a place has ended. */
    void giveBack(const Place &place, const PlaceUse &use = {});

    /** Before a planned stop: refuses the asks that wait here, and withdraws this box's own. */
    void beginLeaving();

private:
    peer::AskPermit askOf(const forward::ListedServer &server, peer::AskKind kind) const;
    peer::AskPermit placeAskFor(const forward::ListedServer &server, std::uint64_t partsKey);
    PlaceOutcome outcomeOf(const forward::ListedServer &server, const AskResult &result);
    void applyAnswer(const forward::ListedServer &server, const peer::PermitAnswer &answer,
                     PlaceOutcome &outcome);
    void receive(const peer::Message &message, const kernel::Endpoint &from);
    void reportToKeyOwner(std::uint64_t home, std::uint64_t partsKey,
                          const forward::ListedServer &server);
    std::uint32_t countAsk(const std::string &service);
    void shareRetryBudget();

    services::Context &context_;
    FleetView &fleetView_;
    PlaceOwner owner_;
    PlaceAsks asks_;
    std::map<std::string, forward::RecentCount> recentAsks_; ///< Of this box, by service.
    forward::FleetShare retryShare_; ///< This box's part of the retry budget.
    std::unique_ptr<services::PeriodicTask> sweep_;
};

} // namespace limereel::gateway
