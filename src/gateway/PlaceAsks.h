/** \file
 * Sends asks to the owners of backend servers and waits for their answers, and tells them when a
 * place is no longer needed.
 *
 * Each message may be lost, delayed or duplicated. An ask that isn't answered in time counts as
 * unanswered. A request that waits at its owner for longer than expected asks again, and is
 * withdrawn if the owner doesn't answer or once it is no longer of use; a grant that arrives after
 * that is given back.
 */
#pragma once

#include "gateway/PlaceOwner.h"
#include "peer/Messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace limereel::gateway {

/** A lease on one slot of a server, granted by its owner or taken without the owner's answer. */
struct Place
{
    std::uint64_t request = 0;
    std::uint64_t engine = 0;
    std::uint64_t owner = 0; ///< The box that granted it; 0: none did.
    std::uint64_t asked = 0; ///< The box asked; may count it even if its answer was lost.
};

/** How a place was used. */
struct PlaceUse
{
    bool unused = false;      ///< Nothing was sent to the server.
    bool rejected = false;    ///< The server rejected the request for lack of room.
    kernel::Duration first{}; ///< From the send to the answer's first byte; zero: none came.
};

/** The result of an ask. */
struct AskResult
{
    Place place; ///< What was asked for.
    std::optional<peer::PermitAnswer> answer;
    bool queued = false;   ///< The request waited at the owner.
    bool stopping = false; ///< This box is about to stop.

    /** Whether the wait ended without a second answer of the owner. */
    bool withdrawn() const { return answer && answer->result == peer::PermitResult::Queued; }
};

/** The asks of one box. */
class PlaceAsks
{
public:
    /** Called with a function that ends the wait, and with an empty one when the wait is over. */
    using OnWait = std::function<void(std::function<void()> end)>;

    PlaceAsks(services::Context &context, PlaceOwner &owner)
        : context_(context)
        , owner_(owner)
    {
    }

    /** Asks the owner of the requested resource, which may be this box. */
    boost::asio::awaitable<AskResult> ask(peer::AskPermit ask);

    /** The same, and if the owner queues the request, waits for its second answer. \param silent a
     * box that didn't answer; if it is the owner, its deputy is asked. */
    boost::asio::awaitable<AskResult> askAndWait(peer::AskPermit ask, OnWait onWait,
                                                 std::uint64_t silent = 0);

    /** Tells the owner that a place, or the wait for it, has ended. */
    void giveBack(const Place &place, const PlaceUse &use);

    /** Handles an answer of an owner. */
    void receive(const peer::PermitAnswer &answer);

    /** Before a planned stop: withdraws the requests that wait, and lets no more wait. */
    void beginLeaving();

    /** Forgets asks that ended long ago; to be called every second. */
    void expire();

private:
    struct Pending
    {
        boost::asio::steady_timer timer;
        std::optional<peer::PermitAnswer> answer;
        bool ended = false;    ///< The request has ended or is no longer to wait.
        bool confirmed = true; ///< False from a repetition of the ask until it is answered.
    };
    using PendingPtr = std::shared_ptr<Pending>;

    /** An ask that is over, whose grant may still arrive. */
    struct ReturnedPlace
    {
        Place place;
        kernel::Instant at;
    };

    Place placeOf(const peer::AskPermit &ask, std::uint64_t silent = 0) const;
    PendingPtr addPending(std::uint64_t request);
    boost::asio::awaitable<void> firstAnswer(Place place, peer::AskPermit ask, PendingPtr pending);
    boost::asio::awaitable<void> waitForPlace(Place place, peer::AskPermit ask, PendingPtr pending,
                                              OnWait onWait);
    boost::asio::awaitable<bool> confirmWait(Place place, peer::AskPermit ask, PendingPtr pending);
    void countWait(const Pending &pending);
    boost::asio::awaitable<void> waitForAnswer(PendingPtr pending);
    void noteSilent(std::uint64_t owner);

    services::Context &context_;
    PlaceOwner &owner_;
    std::map<std::uint64_t, PendingPtr> pending_;     ///< Unanswered and queued asks, by request.
    std::map<std::uint64_t, ReturnedPlace> returned_; ///< By request.
    std::map<std::uint64_t, int> silences_;           ///< Unanswered asks in a row, by owner.
    bool leaving_ = false;
};

} // namespace limereel::gateway
