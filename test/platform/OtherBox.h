/** \file
 * Another box that a test plays itself, on a blocking socket.
 */
#pragma once

#include "peer/Envelope.h"
#include "peer/Messages.h"

#include <array>
#include <boost/asio.hpp>
#include <fstream>
#include <optional>
#include <span>
#include <sstream>
#include <string>
#include <thread>
#include <variant>

namespace limereel::support {

inline std::uint64_t numberFrom(const std::string &hexadecimal)
{
    return std::stoull(hexadecimal, nullptr, 16);
}

/** Bytes that lie unread in the UDP socket at \a port, as the system's own table says. */
inline std::uint64_t unreadAt(std::uint16_t port)
{
    std::ifstream table("/proc/net/udp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        if (numberFrom(local.substr(local.find(':') + 1)) == port) {
            return numberFrom(queues.substr(queues.find(':') + 1));
        }
    }
    return 0;
}

/** Another box, on a blocking socket; its steps run in a thread of their own. */
class OtherBox
{
public:
    OtherBox(const kernel::Endpoint &box, const std::string &key)
        : socket_(io_, boost::asio::ip::udp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , box_(boost::asio::ip::make_address(box.address), box.port)
        , key_(peer::peerKeyFromHex(key).value())
    {
    }

    kernel::Endpoint endpoint() const { return {"127.0.0.1", socket_.local_endpoint().port()}; }

    void send(const peer::Message &message)
    {
        socket_.send_to(boost::asio::buffer(peer::seal(peer::encode(message), key_)), box_);
    }

    /** The next message of one of these kinds; all others are passed over. */
    template <typename... Kinds>
    peer::Message nextOf()
    {
        while (true) {
            const auto message = receive();
            if (message && (std::holds_alternative<Kinds>(*message) || ...)) {
                return *message;
            }
        }
    }

    /** The next message of one of these kinds that has arrived already, all others are passed over;
     * nothing if there is none. */
    template <typename... Kinds>
    std::optional<peer::Message> arrivedOf()
    {
        while (socket_.available() > 0) {
            auto message = receive();
            if (message && (std::holds_alternative<Kinds>(*message) || ...)) {
                return message;
            }
        }
        return std::nullopt;
    }

    template <typename Kind>
    std::optional<Kind> arrived()
    {
        const auto message = arrivedOf<Kind>();
        return message ? std::optional(std::get<Kind>(*message)) : std::nullopt;
    }

    peer::AskPermit nextAsk() { return std::get<peer::AskPermit>(nextOf<peer::AskPermit>()); }

    /** Grants \a ask and waits until the answer lies unread at the box, behind \a others. */
    void grant(const peer::AskPermit &ask, int others = 0)
    {
        for (int other = 0; other < others; ++other) {
            sendUntilUnread(peer::Placed{});
        }
        sendUntilUnread(peer::PermitAnswer{.request = ask.request,
                                           .result = peer::PermitResult::Granted,
                                           .suggestions = {},
                                           .load = 1});
    }

    /** Waits until something lies unread at the box. */
    void untilUnread() const
    {
        while (unreadAt(box_.port()) == 0) {
            std::this_thread::yield();
        }
    }

private:
    std::optional<peer::Message> receive()
    {
        std::array<std::uint8_t, 65536> buffer{};
        boost::asio::ip::udp::endpoint from;
        const std::size_t bytes = socket_.receive_from(boost::asio::buffer(buffer), from);
        const std::span<const peer::PeerKey> keys(&key_, 1);
        const auto payload = peer::open(std::span(buffer).first(bytes), keys);
        return payload ? peer::decode(*payload) : std::nullopt;
    }

    /** Sends \a message while the box reads nothing, and waits until its system has it. */
    void sendUntilUnread(const peer::Message &message)
    {
        const std::uint64_t before = unreadAt(box_.port());
        send(message);
        while (unreadAt(box_.port()) <= before) {
            std::this_thread::yield();
        }
    }

    boost::asio::io_context io_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint box_;
    peer::PeerKey key_;
};

} // namespace limereel::support
