/** \file
 * The way of one request through a gateway: admitted, sent to a backend server, its answer passed
 * back; sent again or resumed elsewhere where that is allowed; given up with the truth about
 * whether it ran.
 *
 * Three things can end it from outside: the deadline, the caller who leaves, and a server that
 * falls silent. Each closes the connection to the backend server, whose reading then fails.
 */
#pragma once

#include "forward/EventCutter.h"
#include "gateway/ConnectionPool.h"
#include "gateway/PlaceService.h"
#include "gateway/World.h"
#include "http/Server.h"
#include "outcome/Attempt.h"

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <set>
#include <string>

namespace limereel::gateway {

/** One request. Lives until serve() is over. */
class RequestRun
{
public:
    RequestRun(services::Context &context, World &world, ConnectionPool &pool, PlaceService &places,
               http::Request request, http::Reply &reply);
    ~RequestRun();
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    boost::asio::awaitable<void> serve();

private:
    /** Why the run was ended from outside. */
    enum class Reason : std::uint8_t { None, Deadline, CallerLeft, Silent };

    /** What outlives the run in handlers that are still to come. */
    struct Interrupt
    {
        Reason reason = Reason::None;
        http::KeptConnection::Ptr connection;
        RequestRun *run = nullptr; ///< nullptr once the run is over.
    };

    /** How an attempt ended. */
    enum class End : std::uint8_t {
        Answered,  ///< The caller has its answer, or is gone.
        Unsent,    ///< Nothing was sent.
        Rejected,  ///< The server said that it didn't run the request.
        MayHaveRun ///< Anything else.
    };

    /** A refusal or failure that the caller is told. */
    struct Refusal
    {
        outcome::ResultCode code;
        std::string message;
        bool comeBack = false;
    };

    std::optional<Refusal> admit();
    std::optional<Refusal> checkKey();
    void armTimers();
    void interrupt(Reason reason);
    void armSilence(const std::string &server, kernel::Duration after);

    boost::asio::awaitable<void> runAttempts();
    boost::asio::awaitable<std::optional<forward::Choice>> chooseServer();
    void settleParts(const forward::Wish &wish, forward::Choice &choice);
    void givePlaceBack();
    void count(End end);
    bool mayTryAgain(End end);
    boost::asio::awaitable<End> attempt(forward::ListedServer server);
    boost::asio::awaitable<http::KeptConnection::Ptr> connectTo(forward::ListedServer server);
    boost::asio::awaitable<End> exchange(forward::ListedServer server,
                                         http::KeptConnection::Ptr connection);
    boost::asio::awaitable<tl::expected<http::AnswerStart, http::CallFailure>>
    readOwnHead(http::KeptConnection::Ptr connection);
    boost::asio::awaitable<End> passWhole(forward::ListedServer server,
                                          http::KeptConnection::Ptr connection,
                                          http::AnswerStart start, forward::AnswerHead head);
    boost::asio::awaitable<End> passStream(forward::ListedServer server,
                                           http::KeptConnection::Ptr connection,
                                           http::AnswerStart start, forward::AnswerHead head);
    boost::asio::awaitable<bool> passEvents(const http::AnswerStart &start, std::string bytes);
    std::string newEvents(std::string_view part);
    End fail(const forward::ListedServer &server, forward::Failure failure,
             const std::string &message, bool sent);

    boost::asio::awaitable<void> giveUp();
    boost::asio::awaitable<void> refuse(Refusal refusal);
    void logSend(const forward::ListedServer &server) const;
    void logEnd(std::string_view result, const std::string &why) const;

    kernel::Duration left() const { return deadline_ - context_.now(); }
    bool stopped() const { return interrupt_->reason != Reason::None; }
    bool repeatable() const { return route_.repeatability != forward::Repeatability::Once; }
    const forward::Prompt *prompt() const;

    services::Context &context_;
    World &world_;
    ConnectionPool &pool_;
    PlaceService &places_;
    http::Request request_;
    http::Reply &reply_;
    forward::Call call_;
    forward::Route route_;
    std::string service_;
    std::string organisation_;
    std::optional<std::uint32_t> priority_;
    bool movesParts_ = false; ///< Servers of the service take prompt parts from each other.
    std::optional<kernel::Endpoint> takeFrom_;
    std::size_t heldPrefixes_ = 0; ///< That the chosen server should hold.
    std::optional<Place> place_;
    kernel::Instant began_;
    kernel::Instant deadline_;
    boost::asio::steady_timer deadlineTimer_;
    boost::asio::steady_timer silenceTimer_;
    std::shared_ptr<Interrupt> interrupt_;

    std::vector<std::string> tried_;
    std::string lastServer_;
    std::string lastMessage_;
    std::uint32_t sends_ = 0;                  ///< Attempts that may have run.
    std::uint32_t rejected_ = 0;               ///< Attempts that a server rejected.
    std::uint32_t unsent_ = 0;                 ///< Attempts of which nothing left.
    std::optional<http::Answer> failedAnswer_; ///< A backend server's own failure, whole.
    forward::EventCutter cutter_;
    std::optional<std::uint64_t> lastEvent_; ///< The last one that the caller has.
};

} // namespace limereel::gateway
