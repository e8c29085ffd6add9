#include "services/PeerService.h"

#include "http/SocketState.h"

#include <boost/asio.hpp>

namespace limereel::services {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t Ipv4AndUdpHeaders = 28;
// At least one datagram is read between two polls. The system's default receive buffer of 208 kB
// holds some hundred datagrams of this protocol. The limit keeps a peer that sends without pause
// from blocking the caller of readPending().
constexpr int MaxPolls = 256;

const char *kindOf(const peer::Message &message)
{
    constexpr auto Kinds = std::to_array<const char *>(
            {"heartbeat", "ask", "answer", "give-back", "renew", "placed", "crash-report",
             "crash-word", "stream-notes", "stream-ask", "stream-answer"});
    static_assert(Kinds.size() == std::variant_size_v<peer::Message>);
    return Kinds.at(message.index());
}

} // namespace

PeerService::PeerService(Context &context)
    : context_(context)
    , keys_(peer::peerKeysFrom(context.settings.peerKeys))
    , socket_(context.io)
{
}

void PeerService::start()
{
    const kernel::Endpoint &where = context_.settings.peer;
    const udp::endpoint local(asio::ip::make_address(where.address), where.port);
    socket_.open(local.protocol());
    socket_.bind(local);
    socket_.non_blocking(true);
    receiveNext();
}

void PeerService::stop()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void PeerService::send(const kernel::Endpoint &to, const peer::Message &message)
{
    if (!filter_(to)) {
        return;
    }
    const peer::Bytes datagram = peer::seal(peer::encode(message), keys_.front());
    const udp::endpoint where(asio::ip::make_address(to.address), to.port);
    boost::system::error_code error;
    socket_.send_to(asio::buffer(datagram), where, 0, error);
    if (error) {
        context_.counters.add("peer_send_failures");
        return;
    }
    context_.counters.add("peer_messages", {{"direction", "out"}, {"kind", kindOf(message)}});
    context_.counters.add("peer_bytes", {{"direction", "out"}, {"kind", kindOf(message)}},
                          datagram.size() + Ipv4AndUdpHeaders);
}

asio::awaitable<void> PeerService::readPending(std::function<bool()> enough)
{
    bool waiting = true;
    for (int polls = 0; polls < MaxPolls && waiting && !enough(); ++polls) {
        waiting = http::arrivedAt(socket_.native_handle()) != http::Arrived::Nothing;
        // Yields to the event loop even if the socket is empty: the last datagram may have been
        // read already while its handler still waits to run: the read that each handler starts
        // takes the next datagram at once.
        co_await asio::post(context_.io, asio::use_awaitable);
    }
}

void PeerService::receiveNext()
{
    socket_.async_receive_from(asio::buffer(buffer_), from_,
                               [this](boost::system::error_code error, std::size_t bytes) {
                                   if (!socket_.is_open()) {
                                       return;
                                   }
                                   if (!error) {
                                       handleDatagram(std::span(buffer_).first(bytes),
                                                      {from_.address().to_string(), from_.port()});
                                   }
                                   receiveNext();
                               });
}

void PeerService::handleDatagram(std::span<const std::uint8_t> datagram,
                                 const kernel::Endpoint &from)
{
    if (!filter_(from)) {
        return;
    }
    const auto payload = peer::open(datagram, keys_);
    if (!payload) {
        context_.counters.add("peer_drops", {{"reason", "not-authentic"}});
        return;
    }
    const auto message = peer::decode(*payload);
    if (!message) {
        context_.counters.add("peer_drops", {{"reason", "not-understood"}});
        return;
    }
    context_.counters.add("peer_bytes", {{"direction", "in"}, {"kind", kindOf(*message)}},
                          datagram.size() + Ipv4AndUdpHeaders);
    for (const Receive &receive : receivers_) {
        receive(*message, from);
    }
}

} // namespace limereel::services
