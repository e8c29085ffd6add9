/** \file
 * The way of one request through a gateway: admitted, sent to a backend server, its answer passed
 * back; sent again or resumed elsewhere where that is allowed; given up with the truth about
 * whether it ran.
 *
 * Three things can end it from outside: the deadline, the caller who leaves, and a server that
 * falls silent (RunState.h, Interrupt).
 */
#pragma once

#include "gateway/BackendExchange.h"
#include "http/AnswerTimer.h"
#include "outcome/ResultCode.h"

#include <optional>
#include <string>
#include <vector>

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
    /** A refusal or failure that the caller is told. */
    struct Refusal
    {
        outcome::ResultCode code;
        std::string message;
        bool comeBack = false;
        kernel::Duration comeBackIn{}; ///< Zero: as the route's objective suggests.
    };

    std::optional<Refusal> admit();
    std::optional<Refusal> checkKey();
    void armTimers();

    boost::asio::awaitable<void> runAttempts();
    boost::asio::awaitable<std::optional<Refusal>> acquireSendPermission();
    boost::asio::awaitable<void> noteEnd(AttemptEnd end);
    boost::asio::awaitable<std::optional<forward::Choice>> chooseServer();
    boost::asio::awaitable<bool> takePlace(forward::Wish &wish, forward::Choice &choice);
    boost::asio::awaitable<bool> learnHolders(forward::Wish &wish, const forward::Choice &choice);
    void noteTrial(const forward::Choice &choice);
    void noteNoServer(const forward::Wish &wish);
    void barCold(forward::Wish &wish, const std::string &id);
    boost::asio::awaitable<void> settleParts(forward::Wish &wish, forward::Choice &choice);
    void givePlaceBack();
    boost::asio::awaitable<AttemptEnd> attempt();
    bool mayTryAgain(AttemptEnd end);

    boost::asio::awaitable<void> giveUp();
    boost::asio::awaitable<void> refuse(Refusal refusal);

    RunState run_;
    ConnectionPool &pool_;
    PlaceService &places_;
    http::AnswerTimer deadlineTimer_;
    std::vector<std::string> tried_; ///< Servers that are not chosen again.
    bool allRest_ = false;           ///< No server could be chosen, as all rest.
};

} // namespace limereel::gateway
