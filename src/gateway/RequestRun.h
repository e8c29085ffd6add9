/** \file
 * Serves one request in a gateway: admits it, sends it to a backend server and forwards the answer.
 * Where that is allowed it retries the request or resumes it at another server. If it gives up, its
 * answer says whether the request may have run.
 *
 * Three things can interrupt a run: the deadline, a caller that disconnects, and a server that
 * stops answering (RunState.h, Interrupt).
 */
#pragma once

#include "gateway/BackendExchange.h"
#include "gateway/DetourService.h"
#include "gateway/ServerSelection.h"
#include "gateway/StreamService.h"
#include "http/AnswerTimer.h"
#include "outcome/ResultCode.h"

#include <optional>
#include <string>

namespace limereel::gateway {

/** What another box says of a request that it sends through this one. */
struct DetourTerms
{
    kernel::Duration left{};                     ///< Until the caller's deadline.
    std::optional<std::uint64_t> resumeAfter;    ///< The last event that the caller has.
    std::optional<forward::StreamOrigin> origin; ///< The server that began its stream.
    std::optional<peer::SendsMade> made;         ///< Sends of the request before this one.
    /** Version of the configuration that admitted it there. */
    std::optional<std::uint64_t> configVersion;
};

/** A request with less time left isn't sent. */
inline constexpr kernel::Duration MinTimeLeft = 5ms;

/** Serves one request. Must live until serve() has returned. */
class RequestRun
{
public:
    RequestRun(services::Context &context, FleetView &fleetView, ConnectionPool &pool,
               PlaceService &places, http::Request request, http::Reply &reply);

    /** Makes it the request of another box's caller. */
    void setDetour(DetourTerms terms) { servedFor_ = std::move(terms); }

    ~RequestRun();
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    boost::asio::awaitable<void> serve();

private:
    /** A refusal or failure that is sent to the caller. */
    struct Refusal
    {
        outcome::ResultCode code;
        std::string message;
        bool retryLater = false;
        kernel::Duration retryDelay{}; ///< Zero: derived from the route's objective.
    };

    boost::asio::awaitable<void> serveCall();
    boost::asio::awaitable<void> endFaulty();
    std::optional<Refusal> admit();
    std::optional<Refusal> checkConfiguration(const forward::Snapshot &snapshot) const;
    std::optional<Refusal> checkKey();
    std::optional<Refusal> checkStop();
    void setService(const std::string &name);
    std::optional<Refusal> checkToldOrigin();
    Refusal originUnknown(std::string_view why) const;
    void armTimers();
    bool takesStreamUp() const;
    boost::asio::awaitable<std::optional<Refusal>> findOrigin();
    forward::StreamId streamId();
    bool useServiceOf(const forward::StreamOrigin &origin);
    void recordStream();

    boost::asio::awaitable<void> runAttempts();
    boost::asio::awaitable<std::optional<Refusal>> acquireSendPermission();
    bool mayContinue();
    bool fitsStream() const;
    bool wayIsLost() const;
    bool chooseDetour();
    boost::asio::awaitable<AttemptEnd> takeDetour();
    bool mayTryAgainAfterDetour(AttemptEnd end);
    void noteRunElsewhere(const peer::SendsMade &made);
    boost::asio::awaitable<void> noteEnd(AttemptEnd end);
    void releasePlace(AttemptEnd end);
    boost::asio::awaitable<AttemptEnd> attempt();
    bool mayTryAgain(AttemptEnd end);
    bool ranOut() const;
    bool reserveRepeat();

    boost::asio::awaitable<void> giveUp();
    boost::asio::awaitable<void> refuse(Refusal refusal);

    RunState run_;
    ConnectionPool &pool_;
    PlaceService &places_;
    ServerSelection selection_;
    DetourService &detours_;
    StreamService &streams_;
    std::optional<DetourTerms> servedFor_;    ///< Set if the caller is another box's.
    std::optional<DetourBox> detour_;         ///< Through which the next attempt is sent.
    std::vector<std::uint64_t> triedDetours_; ///< Boxes that were asked and aren't asked again.
    std::size_t detoursTaken_ = 0;
    bool noWayToVersion_ = false; ///< No server that may continue the stream was reached.
    bool repeatReserved_ = false; ///< The retry budget has granted the next attempt already.
    http::AnswerTimer deadlineTimer_;
};

} // namespace limereel::gateway
