#include "support/ClientCrowd.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace limereel::support {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t BlockBytes = 65536;

std::string repeated(const std::string &unit)
{
    std::string block;
    while (!unit.empty() && block.size() + unit.size() <= std::max(BlockBytes, unit.size())) {
        block += unit;
    }
    return block;
}

} // namespace

ClientCrowd::ClientCrowd(asio::io_context &io, const kernel::Endpoint &where,
                         const CrowdBytes &bytes, std::size_t clients)
{
    state_->bytes = bytes;
    state_->block = repeated(bytes.unit);
    state_->sending = clients;
    for (std::size_t client = 0; client < clients; ++client) {
        sockets_.push_back(std::make_shared<tcp::socket>(io));
        asio::co_spawn(io, send(sockets_.back(), where, state_), asio::detached);
    }
}

ClientCrowd::~ClientCrowd()
{
    boost::system::error_code ignored;
    for (const Socket &socket : sockets_) {
        socket->close(ignored);
    }
}

asio::awaitable<void> ClientCrowd::send(Socket socket, kernel::Endpoint where,
                                        std::shared_ptr<State> state)
{
    const tcp::endpoint server(asio::ip::make_address(where.address), where.port);
    const auto [error] = co_await socket->async_connect(server, Quiet);
    const bool done = !error && co_await sendAll(socket, state);
    state->done += done ? 1 : 0;
    --state->sending;
}

asio::awaitable<bool> ClientCrowd::sendAll(Socket socket, std::shared_ptr<State> state)
{
    const CrowdBytes &bytes = state->bytes;
    std::size_t left = bytes.total;
    const std::string *next = &bytes.begin;
    while (left > 0) {
        const asio::const_buffer piece(next->data(), std::min(left, next->size()));
        const auto [error, count] = co_await asio::async_write(*socket, piece, Quiet);
        if (error) {
            co_return false;
        }
        left -= count;
        next = &state->block;
    }
    co_return true;
}

} // namespace limereel::support
