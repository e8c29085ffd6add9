#include "platform/soak/LoopbackProxy.h"

#include <array>
#include <boost/asio.hpp>

namespace limereel::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);
constexpr kernel::Duration DelayOfBytes = 120ms;

tcp::endpoint endpointOf(const kernel::Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool swallows(Harm harm, bool toServer)
{
    return harm == Harm::Silent || harm == (toServer ? Harm::CutToServer : Harm::CutToClient);
}

} // namespace

const char *text(Harm harm)
{
    constexpr std::array<const char *, 6> Names = {"none",          "delay",         "reset",
                                                   "cut-to-server", "cut-to-client", "silent"};
    return Names.at(static_cast<std::size_t>(harm));
}

LoopbackProxy::LoopbackProxy(asio::io_context &io, const kernel::Endpoint &where,
                             const kernel::Endpoint &server)
    : where_(where)
    , acceptor_(std::make_shared<tcp::acceptor>(io, endpointOf(where)))
{
    asio::co_spawn(io, accept(io, acceptor_, endpointOf(server), state_), asio::detached);
}

LoopbackProxy::~LoopbackProxy()
{
    close();
}

void LoopbackProxy::close()
{
    state_->open = false;
    boost::system::error_code ignored;
    acceptor_->close(ignored);
    setHarm(Harm::Reset);
}

void LoopbackProxy::setHarm(Harm harm)
{
    state_->harm = harm;
    for (const auto &weak : state_->links) {
        const LinkPtr link = weak.lock();
        if (link && (harm == Harm::Reset || link->swallowed)) {
            reset(link->client);
            reset(link->server);
        }
    }
    std::erase_if(state_->links, [](const auto &weak) { return weak.expired(); });
}

asio::awaitable<void> LoopbackProxy::accept(asio::io_context &io,
                                            std::shared_ptr<tcp::acceptor> from,
                                            tcp::endpoint server, StatePtr state)
{
    while (state->open) {
        auto [error, client] = co_await from->async_accept(Quiet);
        if (error) {
            break;
        }
        if (state->harm == Harm::Reset) {
            reset(client);
            continue;
        }
        auto link = std::make_shared<Link>(Link{std::move(client), tcp::socket(io)});
        state->links.push_back(link);
        asio::co_spawn(io, open(io, link, server, state), asio::detached);
    }
}

asio::awaitable<void> LoopbackProxy::open(asio::io_context &io, LinkPtr link, tcp::endpoint server,
                                          StatePtr state)
{
    const auto [error] = co_await link->server.async_connect(server, Quiet);
    if (error) {
        reset(link->client);
        co_return;
    }
    asio::co_spawn(io, pump(io, link, true, state), asio::detached);
    asio::co_spawn(io, pump(io, link, false, state), asio::detached);
}

asio::awaitable<void> LoopbackProxy::pump(asio::io_context &io, LinkPtr link, bool toServer,
                                          StatePtr state)
{
    tcp::socket &from = toServer ? link->client : link->server;
    tcp::socket &to = toServer ? link->server : link->client;
    std::array<char, 16384> part{};
    asio::steady_timer timer(io);
    while (true) {
        const auto [error, bytes] = co_await from.async_read_some(asio::buffer(part), Quiet);
        if (swallows(state->harm, toServer)) {
            link->swallowed = true;
            if (error) {
                co_return;
            }
            continue;
        }
        if (error) {
            break;
        }
        if (state->harm == Harm::Delay) {
            timer.expires_after(DelayOfBytes);
            co_await timer.async_wait(Quiet);
        }
        const auto [failed, written] =
                co_await asio::async_write(to, asio::buffer(part.data(), bytes), Quiet);
        if (failed) {
            break;
        }
    }
    boost::system::error_code ignored;
    to.shutdown(tcp::socket::shutdown_send, ignored);
    if (toServer) {
        // The client is gone: the server must see it, whatever it still sends.
        link->server.close(ignored);
    }
}

} // namespace limereel::soak
