/** \file
 * What is known of one request while a gateway runs it: what the caller asked for, what was tried,
 * what the caller has already got. Shared by the parts that carry it out.
 */
#pragma once

#include "gateway/FleetView.h"
#include "gateway/PlaceService.h"
#include "http/KeptConnection.h"
#include "http/Server.h"
#include "services/CrashGuard.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limereel::gateway {

/** Why a run was ended from outside. */
enum class Interruption : std::uint8_t { None, Deadline, CallerLeft, Silent };

/** Ends a run from outside. Timers and the caller's connection hold it, and may outlive the run. */
struct Interrupt
{
    Interruption reason = Interruption::None;
    http::KeptConnection::Ptr connection; ///< To the backend server, while one is in use.
    bool ended = false;                   ///< The run has ended.

    /** Ends what runs: the reading of the backend server's answer fails. */
    void end(Interruption why);
};

/** How an attempt ended. */
enum class AttemptEnd : std::uint8_t {
    Answered,  ///< The caller has its answer, or is gone.
    Unsent,    ///< Nothing was sent.
    Rejected,  ///< The server said that it didn't run the request.
    MayHaveRun ///< Anything else.
};

/** The attempts of a run by their ends. */
struct AttemptCounts
{
    std::uint32_t sends = 0;    ///< That may have run.
    std::uint32_t rejected = 0; ///< That a server rejected.
    std::uint32_t unsent = 0;   ///< Of which nothing left.

    void add(AttemptEnd end);
    std::uint32_t all() const { return sends + rejected + unsent; }
    auto operator<=>(const AttemptCounts &) const = default;
};

/** One request on its way. */
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
    std::string service;
    std::string organisation;
    std::vector<std::string> regions; ///< Where it may run; empty: anywhere.
    std::optional<std::uint32_t> priority;
    bool movesParts = false; ///< Servers of the service take prompt parts from each other.
    kernel::Instant began;
    kernel::Instant deadline;
    services::CrashGuard guard; ///< Knows the request once it has been admitted.
    std::shared_ptr<Interrupt> interrupt = std::make_shared<Interrupt>();

    forward::Choice choice;                    ///< The server of this attempt.
    std::optional<kernel::Instant> sentAt;     ///< Of this attempt; nothing: not yet.
    std::optional<kernel::Instant> firstPiece; ///< When it brought the first piece of an answer.
    std::optional<forward::Failure> failure;   ///< Of this attempt.
    bool answeredWhole = false;                ///< Its server has sent a whole answer.

    std::optional<Place> place; ///< There.
    AttemptCounts counts;
    std::string lastMessage;
    std::optional<http::Answer> failedAnswer; ///< A backend server's own failure, whole.
    std::optional<std::uint64_t> lastEvent;   ///< The last one that the caller has.

    kernel::Duration left() const { return deadline - context.now(); }
    bool stopped() const { return interrupt->reason != Interruption::None; }
    bool repeatable() const { return route.repeatability != forward::Repeatability::Once; }

    /** Forgets what is known of the attempt before. */
    void beginAttempt();

    /** A piece of the attempt's answer has come. */
    void notePiece();

    /** The prompt, where its parts matter for the choice of a server; else nullptr. */
    const forward::Prompt *prompt() const;
};

/** Whether \a status promises the caller that its request did not run. */
bool promisesNotRun(int status);

} // namespace limereel::gateway
