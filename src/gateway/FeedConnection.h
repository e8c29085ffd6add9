/** \file
 * The connection of a feed to the server that it polls, the store or a relay: one call at a time;
 * the connection is kept for the next call.
 */
#pragma once

#include "http/KeptConnection.h"
#include "services/Context.h"

#include <string>

namespace limereel::gateway {

/** Timeouts of an answer. */
struct AnswerWait
{
    kernel::Duration first{};   ///< Until its head has arrived.
    kernel::Duration silence{}; ///< Between two parts of its body.
    kernel::Duration whole{};   ///< Until its end has arrived.
};

/** A persistent HTTP connection with timeouts. */
class FeedConnection
{
public:
    /** \param wait the name of its timer in the counters. */
    FeedConnection(services::Context &context, std::string wait)
        : context_(context)
        , wait_(std::move(wait))
    {
    }

    /** Connects to \a where within \a timeout unless a usable connection is open. The error says
     * why it failed. */
    boost::asio::awaitable<tl::expected<void, std::string>> open(kernel::Endpoint where,
                                                                 kernel::Duration timeout);

    /** Sends \a request on the open connection and reads the whole answer within \a wait. */
    boost::asio::awaitable<tl::expected<http::Answer, std::string>> ask(http::Request request,
                                                                        AnswerWait wait);

    /** Closes the connection, which makes a running call fail. */
    void close();

    /** Whether bytes have arrived that aren't read yet. */
    bool unread() const;

    /** Time since its last bytes arrived; zero if it isn't open. */
    kernel::Duration rested() const;

private:
    services::Context &context_;
    std::string wait_;
    kernel::Endpoint where_; ///< Of the open connection.
    http::KeptConnection::Ptr connection_;
};

} // namespace limereel::gateway
