/** \file
 * One attempt of a request at one backend server: connects, sends the request, forwards the answer
 * to the caller as it arrives, and returns how the attempt ended.
 *
 * An answer is forwarded only if it belongs to this request; a stream only in complete events, and
 * only those that the caller doesn't have yet. An interruption closes the connection, so that
 * reading from it fails.
 */
#pragma once

#include "forward/AnswerEnding.h"
#include "gateway/ConnectionPool.h"
#include "gateway/EventForwarder.h"
#include "gateway/RunState.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

namespace limereel::gateway {

/** One attempt at the server that the run has chosen. */
class BackendExchange
{
public:
    /** \param reserveRepeat asked before the attempt is given up because its server is silent;
     * returns whether another attempt is sure to follow. */
    BackendExchange(RunState &run, ConnectionPool &pool, std::function<bool()> reserveRepeat);

    /** Takes an idle connection from the pool or opens a new one. \return false if that fails. */
    boost::asio::awaitable<bool> connect();

    /** Returns the unused connection to the pool, or closes it if it is new. */
    void returnUnused();

    /** Sends the request and forwards the answer to the caller. */
    boost::asio::awaitable<AttemptEnd> sendAndForward();

private:
    void returnConnection(std::optional<kernel::Duration> keptFor);
    void armSilenceTimer(kernel::Duration after);
    void interruptAfterLoopTurn(kernel::Duration after);
    void waitInSilence();
    boost::asio::awaitable<AttemptEnd> exchange();
    boost::asio::awaitable<tl::expected<http::AnswerStart, http::CallFailure>> readOwnHead();
    bool isOwn(const forward::AnswerHead &head, bool carriedAnother);
    void noteServerReports(const forward::AnswerHead &head);
    boost::asio::awaitable<AttemptEnd> forwardWhole(http::AnswerStart start,
                                                    forward::AnswerHead head);
    boost::asio::awaitable<AttemptEnd> forwardStream(http::AnswerStart start,
                                                     forward::AnswerHead head);
    boost::asio::awaitable<AttemptEnd> endStream(http::AnswerStart start, forward::AnswerHead head,
                                                 http::BodyEnd end);
    AttemptEnd endForCallerThatLeft();
    http::KeptConnection::Hold holdAnswer();
    boost::asio::awaitable<forward::Completeness> judge(forward::AnswerEnding ending);
    void noteAnswerTime();
    void noteBodyEnd(http::BodyEnd end);
    AttemptEnd fail(forward::Failure failure, const std::string &message, bool sent);
    AttemptEnd failUnsigned();
    AttemptEnd failReading(const char *what, const http::CallFailure &failure, bool sent);

    RunState &run_;
    ConnectionPool &pool_;
    std::function<bool()> reserveRepeat_;
    const forward::ListedServer server_;
    std::optional<PooledConnection> pooled_; ///< Set if the connection was taken from the pool.
    http::KeptConnection::Ptr connection_;
    boost::asio::steady_timer silenceTimer_;
    EventForwarder events_;
    bool mayHoldAnswer_ = false;  ///< This request's answer may still come on the connection.
    bool waitsInSilence_ = false; ///< The server is silent, and no other attempt is sure to follow.
};

} // namespace limereel::gateway
