/** \file
 * The client side of FeedRelay: asks another box of the hall, one question at a time, over a
 * persistent connection.
 */
#pragma once

#include "gateway/FeedConnection.h"
#include "peer/Envelope.h"
#include "peer/FeedMessages.h"

#include <optional>

namespace limereel::gateway {

/** A client of other boxes' FeedRelay. */
class RelayClient
{
public:
    explicit RelayClient(services::Context &context)
        : context_(context)
        , keys_(peer::peerKeysFrom(context.settings.peerKeys))
        , connection_(context, "relay")
    {
    }

    /** Asks the box at \a where. Empty if it can't be reached, doesn't answer within \a timeout, or
     * its answer isn't authentic. */
    boost::asio::awaitable<std::optional<peer::FeedAnswer>>
    ask(kernel::Endpoint where, peer::FeedAsk ask, kernel::Duration timeout);

    /** Closes the connection, which makes a running question fail. */
    void close() { connection_.close(); }

    /** Whether bytes have arrived that aren't read yet. */
    bool unread() const { return connection_.unread(); }

private:
    services::Context &context_;
    std::vector<peer::PeerKey> keys_;
    FeedConnection connection_;
};

} // namespace limereel::gateway
