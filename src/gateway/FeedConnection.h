/** \file
 * The connection of a feed to whoever it asks, the store or a relay: one call at a time, kept for
 * the next one.
 */
#pragma once

#include "http/KeptConnection.h"
#include "services/Context.h"

#include <string>

namespace limereel::gateway {

/** How long an answer is waited for. */
struct AnswerWait
{
    kernel::Duration first{};   ///< Until its head.
    kernel::Duration silence{}; ///< Then between any two parts.
    kernel::Duration whole{};   ///< Until its end.
};

/** The connection. */
class FeedConnection
{
public:
    /** \param wait names the wait for its answers in the counters. */
    FeedConnection(services::Context &context, std::string wait)
        : context_(context)
        , wait_(std::move(wait))
    {
    }

    /** Connects to \a where within \a longest unless a good connection is there. The error says
     * why there is none. */
    boost::asio::awaitable<tl::expected<void, std::string>> open(kernel::Endpoint where,
                                                                 kernel::Duration longest);

    /** Sends \a request on the open connection and reads the whole answer within \a wait. */
    boost::asio::awaitable<tl::expected<http::Answer, std::string>> ask(http::Request request,
                                                                        AnswerWait wait);

    /** Ends the connection, and with it the call that runs. */
    void close();

    /** Whether something lies unread. */
    bool unread() const;

    /** How long ago its last bytes came; zero if it isn't open. */
    kernel::Duration rested() const;

private:
    services::Context &context_;
    std::string wait_;
    kernel::Endpoint where_; ///< Of the open connection.
    http::KeptConnection::Ptr connection_;
};

} // namespace limereel::gateway
