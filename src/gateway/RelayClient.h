/** \file
 * The asking side of FeedRelay: one question at a time to another box of the hall, over a
 * connection that is kept for the next one.
 */
#pragma once

#include "gateway/FeedConnection.h"
#include "peer/Envelope.h"
#include "peer/FeedMessages.h"

#include <optional>

namespace limereel::gateway {

/** The caller. */
class RelayClient
{
public:
    explicit RelayClient(services::Context &context)
        : context_(context)
        , keys_(peer::peerKeysFrom(context.settings.peerKeys))
        , connection_(context, "relay")
    {
    }

    /** Asks the box at \a where. Nothing if it can't be reached, doesn't answer within \a longest,
     * or what it answers isn't authentic. */
    boost::asio::awaitable<std::optional<peer::FeedAnswer>>
    ask(kernel::Endpoint where, peer::FeedAsk ask, kernel::Duration longest);

    /** Ends the connection, and with it the question that is under way. */
    void close() { connection_.close(); }

    /** Whether something lies unread. */
    bool unread() const { return connection_.unread(); }

private:
    services::Context &context_;
    std::vector<peer::PeerKey> keys_;
    FeedConnection connection_;
};

} // namespace limereel::gateway
