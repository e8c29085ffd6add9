/** \file
 * Datagrams between boxes: sends and receives the messages of peer/Messages.h in the envelope of
 * peer/Envelope.h, and counts every byte, headers included.
 *
 * UDP through Asio rather than nng: a heartbeat or a permit is one small message to one of many
 * boxes, needs no connection, and its loss is made good by the next one. docs/design/transport.md
 * has the figures of both. Settings, which are long and must arrive whole, go through nng: see
 * SettingsExchange.h.
 */
#pragma once

#include "peer/Envelope.h"
#include "peer/Messages.h"
#include "services/Context.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <vector>

namespace limereel::services {

/** The socket. */
class PeerService : public kernel::Service
{
public:
    using Receive = std::function<void(const peer::Message &message, const kernel::Endpoint &from)>;

    explicit PeerService(Context &context);

    std::string_view name() const override { return "peer"; }
    void start() override;
    void stop() override;

    /** Adds a receiver; each gets every message that verifies. */
    void onMessage(Receive receive) { receivers_.push_back(std::move(receive)); }

    /** Sets a hook that may drop what is sent or received; tests cut boxes off with it. */
    void setFilter(std::function<bool(const kernel::Endpoint &other)> passes)
    {
        passes_ = std::move(passes);
    }

    /** Sends \a message. Nothing tells whether it arrives. */
    void send(const kernel::Endpoint &to, const peer::Message &message);

    /** Lets the loop read what lies unread in the socket, until \a enough holds or nothing is left.
     * To be awaited before a message that didn't come in time is given up: after a standstill of
     * the loop the end of a wait may be handled ahead of it. */
    boost::asio::awaitable<void> readPending(std::function<bool()> enough);

private:
    void receiveNext();
    void take(std::span<const std::uint8_t> datagram, const kernel::Endpoint &from);

    Context &context_;
    std::vector<peer::PeerKey> keys_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint from_;
    std::array<std::uint8_t, 65536> buffer_{};
    std::vector<Receive> receivers_;
    std::function<bool(const kernel::Endpoint &)> passes_ = [](const kernel::Endpoint &) {
        return true;
    };
};

} // namespace limereel::services
