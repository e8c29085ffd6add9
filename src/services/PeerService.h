/** \file
 * Datagrams between boxes: sends and receives the messages of peer/Messages.h in the envelope of
 * peer/Envelope.h, and counts every byte, headers included.
 *
 * UDP through Asio is used rather than nng: a heartbeat or a permit message is small, goes to one
 * of many boxes and needs no connection, and the next message makes up for a lost one.
 * docs/design/transport.md compares the measured costs of both. Settings are long and must arrive
 * whole, so they go through nng; see SettingsExchange.h.
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

/** The UDP socket for messages between boxes. */
class PeerService : public kernel::Service
{
public:
    using Receive = std::function<void(const peer::Message &message, const kernel::Endpoint &from)>;

    explicit PeerService(Context &context);

    std::string_view name() const override { return "peer"; }
    void start() override;
    void stop() override;

    /** Adds a receiver. Every receiver gets every message that passes authentication. */
    void onMessage(Receive receive) { receivers_.push_back(std::move(receive)); }

    /** Sets a filter: datagrams to or from \a other are dropped if it returns false. Tests use it
     * to simulate network partitions. */
    void setFilter(std::function<bool(const kernel::Endpoint &other)> filter)
    {
        filter_ = std::move(filter);
    }

    /** Sends \a message without waiting for an acknowledgement; it may be lost. */
    void send(const kernel::Endpoint &to, const peer::Message &message);

    /** Lets the event loop handle the datagrams that are already in the socket's buffer, until
     * \a enough returns true or none is left. Await this before treating a wait for a message as
     * timed out: after a stall of the event loop, the timeout may be handled before a message that
     * arrived in time. */
    boost::asio::awaitable<void> readPending(std::function<bool()> enough);

private:
    void receiveNext();
    void handleDatagram(std::span<const std::uint8_t> datagram, const kernel::Endpoint &from);

    Context &context_;
    std::vector<peer::PeerKey> keys_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint from_;
    std::array<std::uint8_t, 65536> buffer_{};
    std::vector<Receive> receivers_;
    std::function<bool(const kernel::Endpoint &)> filter_ = [](const kernel::Endpoint &) {
        return true;
    };
};

} // namespace limereel::services
