#include "platform/EndlessServer.h"

#include <array>
#include <boost/algorithm/string/replace.hpp>
#include <boost/asio.hpp>

namespace limereel::support {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto Quiet = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t BlockBytes = 65536;
constexpr int SendBufferBytes = 65536;
// Long enough for the other side, on the same loop, to read what was written.
constexpr kernel::Duration UnitPause = 1ms;

std::string idIn(const std::string &head)
{
    constexpr std::string_view Name = "X-Attempt-Id: ";
    const std::size_t at = head.find(Name);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + Name.size();
    return head.substr(begin, head.find('\r', begin) - begin);
}

std::string repeated(const std::string &unit)
{
    std::string block;
    while (block.size() < BlockBytes) {
        block += unit;
    }
    return block;
}

} // namespace

EndlessServer::EndlessServer(asio::io_context &io)
    : io_(io)
    , acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    asio::co_spawn(io_, accept(), asio::detached);
}

EndlessServer::~EndlessServer()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

kernel::Endpoint EndlessServer::where() const
{
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

asio::awaitable<void> EndlessServer::accept()
{
    const SharedState state = state_;
    while (true) {
        auto [error, socket] = co_await acceptor_.async_accept(Quiet);
        if (error) {
            co_return;
        }
        EndlessAnswer next = answer;
        asio::co_spawn(io_, serve(std::move(socket), std::move(next), state), asio::detached);
    }
}

asio::awaitable<void> EndlessServer::serve(tcp::socket socket, EndlessAnswer answer,
                                           SharedState state)
{
    ++state->open;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(SendBufferBytes), ignored);
    std::string head;
    auto [failed, bytes] =
            co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", Quiet);
    if (!failed) {
        ++state->requests;
    }
    const bool aligned = answer.pace == EndlessPace::Aligned;
    const std::string more = aligned ? answer.unit : repeated(answer.unit);
    std::string next = boost::algorithm::replace_first_copy(answer.begin, "ID", idIn(head));
    asio::steady_timer pause(socket.get_executor());
    std::size_t written = 0;
    while (!failed && written < EnoughBytes) {
        const auto [error, count] = co_await asio::async_write(socket, asio::buffer(next), Quiet);
        failed = error;
        written += count;
        state->mostWritten = std::max(state->mostWritten, written);
        next = more;
        if (aligned) {
            pause.expires_after(UnitPause);
            co_await pause.async_wait(Quiet);
        }
    }
    // Reads the rest of the request, and then the other side's end.
    std::array<char, 1024> sink{};
    while (!failed) {
        const auto [error, count] = co_await socket.async_read_some(asio::buffer(sink), Quiet);
        failed = error;
    }
    --state->open;
}

} // namespace limereel::support
