/** \file
 * One attempt of a request at one backend server: connect, send, pass the answer back to the caller
 * as it comes, and say how it ended.
 *
 * An answer is passed on only if it is this request's own; a stream only in whole events, and none
 * that the caller already has. What ends the run from outside closes the connection, whose reading
 * then fails.
 */
#pragma once

#include "forward/EventCutter.h"
#include "gateway/ConnectionPool.h"
#include "gateway/RunState.h"

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <string>

namespace limereel::gateway {

/** The attempt at the server that the run has chosen. */
class BackendExchange
{
public:
    BackendExchange(RunState &run, ConnectionPool &pool);

    /** Takes a kept connection or opens one. \return false if none came about. */
    boost::asio::awaitable<bool> connect();

    /** Gives the connection back unused. */
    void returnUnused();

    /** Sends the request and passes the answer on. */
    boost::asio::awaitable<AttemptEnd> sendAndForward();

private:
    void giveBack(std::optional<kernel::Duration> keptFor);
    void armSilence(kernel::Duration after);
    void endAfterATurn(kernel::Duration after);
    boost::asio::awaitable<AttemptEnd> exchange();
    boost::asio::awaitable<tl::expected<http::AnswerStart, http::CallFailure>> readOwnHead();
    void noteWords(const forward::AnswerHead &head);
    boost::asio::awaitable<AttemptEnd> passWhole(http::AnswerStart start, forward::AnswerHead head);
    boost::asio::awaitable<AttemptEnd> passStream(http::AnswerStart start,
                                                  forward::AnswerHead head);
    boost::asio::awaitable<bool> passEvents(const http::AnswerStart &start, std::string bytes);
    std::string newEvents(std::string_view part);
    AttemptEnd fail(forward::Failure failure, const std::string &message, bool sent);

    RunState &run_;
    ConnectionPool &pool_;
    const forward::ListedServer server_;
    std::optional<PooledConnection> pooled_; ///< If the connection was taken from the pool.
    http::KeptConnection::Ptr connection_;
    boost::asio::steady_timer silenceTimer_;
    forward::EventCutter cutter_;
};

} // namespace limereel::gateway
