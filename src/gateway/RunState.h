/** \file
 * The state of one request while a gateway runs it: what the caller asked for, which attempts were
 * made, and what the caller has already received. Shared by the classes that run the request.
 */
#pragma once

#include "forward/StreamOrigin.h"
#include "gateway/FleetView.h"
#include "gateway/PlaceService.h"
#include "gateway/SendBasis.h"
#include "http/KeptConnection.h"
#include "http/Server.h"
#include "peer/SendsMade.h"
#include "services/CrashGuard.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limereel::gateway {

/** Why a run was interrupted. */
enum class Interruption : std::uint8_t { None, Deadline, CallerLeft, Silent };

/** Interrupts a run. Timers and the caller's connection hold it and may outlive the run. */
struct Interrupt
{
    Interruption reason = Interruption::None;
    http::KeptConnection::Ptr connection; ///< The one to the backend server, while it is in use.
    std::function<void()> endWait;        ///< Ends the wait for a place, while there is one.
    bool ended = false;                   ///< The run has ended.

    /** Closes the connection to the backend server, so that reading its answer fails, and ends the
     * wait for a place. */
    void end(Interruption why);
};

/** How an attempt ended. */
enum class AttemptEnd : std::uint8_t {
    Answered,  ///< The caller has received its answer or has disconnected.
    Unsent,    ///< Nothing was sent.
    Rejected,  ///< The server answered that it didn't run the request.
    MayHaveRun ///< Any other end; the request may have run.
};

/** The attempts of a run, counted by how they ended. */
struct AttemptCounts
{
    std::uint32_t sends = 0;    ///< Attempts that may have run.
    std::uint32_t rejected = 0; ///< Attempts that a server rejected.
    std::uint32_t unsent = 0;   ///< Attempts of which nothing was sent.

    void add(AttemptEnd end);
    std::uint32_t all() const { return sends + rejected + unsent; }
    auto operator<=>(const AttemptCounts &) const = default;
};

/** One request while it is being served. */
struct RunState
{
    RunState(services::Context &context, FleetView &fleetView, http::Request request,
             http::Reply &reply);

    services::Context &context;
    FleetView &fleetView;
    http::Request request;
    http::Reply &reply;

    forward::Call call;
    forward::Route route;
    std::uint64_t configVersion = 0; ///< Of the configuration that admitted it.
    std::string service;
    std::string organisation;
    std::vector<std::string> regions; ///< Regions in which it may run; empty: any region.
    std::optional<std::uint32_t> priority;
    bool movesParts = false; ///< Servers of the service copy cached prompt parts from each other.
    kernel::Instant began;
    kernel::Instant deadline;
    /** From the caller's first try to \c began, if this request repeats it. Only set with
     * admission control; see forward::CallerTimeouts. */
    kernel::Duration sinceFirstTry{};
    services::CrashGuard guard; ///< Tracks the request from its admission on.
    std::shared_ptr<Interrupt> interrupt = std::make_shared<Interrupt>();
    /** What is held of this attempt's answer. One that gave way holds nothing any more, so each
     * attempt has its own. */
    std::optional<http::ByteBudget::Share> answerBytes;

    forward::Choice choice;                    ///< The server of this attempt.
    std::optional<kernel::Instant> sentAt;     ///< When this attempt was sent; empty before that.
    std::optional<kernel::Instant> headAt;     ///< When the head of its answer had arrived.
    std::optional<kernel::Instant> firstPiece; ///< When this attempt's answer began to arrive.
    std::optional<forward::Failure> failure;   ///< How this attempt failed.
    std::optional<http::BodyEnd> bodyEnd;      ///< How the body of its answer ended.
    bool answeredWhole = false;   ///< The server of this attempt has sent a complete answer.
    bool answeredFailure = false; ///< That answer has no status of success.

    bool forOtherBox = false; ///< The caller is another box's.
    /** What the other box has told of earlier sends; nothing: it is of an earlier version. */
    std::optional<peer::SendsMade> madeBefore;
    std::string through;        ///< The box through which this attempt is sent; empty: straight.
    std::optional<Place> place; ///< The place at the server of this attempt.
    SendBasis basis;            ///< What the send of this attempt rests on.
    /** The load that the server of this attempt told with its answer. */
    std::optional<forward::ReportedLoad> toldLoad;
    /** Sends of this attempt by the box through which it went, as that tells. */
    std::optional<peer::SendsMade> sendsThere;
    AttemptCounts counts;
    std::uint64_t lastRunAt = 0; ///< Hash of the last server that may have run it; 0: none.
    bool repeatUnused = false;   ///< The retry budget granted a repeat that hasn't been sent yet.
    std::string lastMessage;
    std::optional<http::Answer> failedAnswer; ///< A complete error answer of a backend server.
    std::optional<std::uint64_t> lastEvent;   ///< Id of the last event that the caller has.
    /** The server whose events the caller has; nothing: it has none, or none is known. */
    std::optional<forward::StreamOrigin> origin;
    /** Called when this run sends the first bytes of a stream to its caller. */
    std::function<void()> onFirstBytes = [] {};
    bool sentBytes = false; ///< Of a stream, in this run.
    bool passedUnnumbered =
            false; ///< The caller has an event without an id, which would come again.

    kernel::Duration left() const { return deadline - context.now(); }
    bool stopped() const { return interrupt->reason != Interruption::None; }
    bool repeatable() const
    {
        return route.repeatability != forward::Repeatability::Once && !passedUnnumbered;
    }

    /** Attempts that may have run, those of the box that asked included. */
    std::uint32_t runsMade() const
    {
        return counts.sends + madeBefore.value_or(peer::SendsMade()).runs;
    }

    /** Resets the state of the previous attempt. */
    void beginAttempt();

    /** Records that bytes of the attempt's answer have arrived. */
    void notePiece();

    /** Records that bytes of a stream that \a writer wrote are about to go to the caller. */
    void noteBytes(const forward::StreamOrigin &writer);

    /** Holds \a bytes of this attempt's answer; the failure if there is no room for them. */
    std::optional<http::CallFailure> holdAnswer(std::size_t bytes);

    /** Counts an answer that was given up as it passed \a bound, if it did. */
    void noteTooLong(std::optional<http::AnswerBound> bound) const;

    /** The prompt if its parts matter for the choice of a server; else nullptr. */
    const forward::Prompt *prompt() const;
};

/** The fields of a request or answer that are passed on; those of the platform always are. */
http::Fields ownEndToEnd(const RunState &run, const http::Fields &fields);

/** The fields of an answer; one to another box that asks for it says how often servers were sent
 * the request. \param underWay sends that aren't counted yet. */
http::Fields withSends(const RunState &run, http::Fields fields, std::uint32_t underWay);

/** The fields of a server's answer that are passed on. A server can't speak for this box towards
 * another one. */
http::Fields serverFields(const RunState &run, const http::Fields &fields);

/** Whether an answer claims a success that no backend server has signed, so that it isn't one. */
bool lacksSignature(const forward::AnswerHead &head);

/** Why an attempt with such an answer has failed. */
inline constexpr const char *UnsignedAnswer = "answer: a success without its server's signature";

/** Whether the HTTP status \a status tells the caller that its request did not run. */
bool promisesNotRun(int status);

} // namespace limereel::gateway
