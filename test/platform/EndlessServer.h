/** \file
 * A server whose answers have no end: one beginning, then the same bytes again and again until the
 * other side closes the connection or enough has been written to tell that it doesn't.
 */
#pragma once

#include "kernel/BoxSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace limereel::support {

/** How fast an answer is written. */
enum class EndlessPace : std::uint8_t {
    Fast,   ///< As fast as the other side reads.
    Aligned ///< One unit at a time, so that each is read by itself, and never a silence.
};

/** An answer without an end. */
struct EndlessAnswer
{
    std::string begin; ///< "ID" in it stands for the request's id.
    std::string unit;  ///< What follows again and again.
    EndlessPace pace = EndlessPace::Fast;

    auto operator<=>(const EndlessAnswer &) const = default;
};

/** The server. */
class EndlessServer
{
public:
    /** Writes this much to a connection and then waits for its end. */
    static constexpr std::size_t EnoughBytes = std::size_t{48} * 1024 * 1024;

    /** Listens on a free port. */
    explicit EndlessServer(boost::asio::io_context &io);
    ~EndlessServer();

    kernel::Endpoint where() const;

    /** What each request is answered with. */
    EndlessAnswer answer;

    /** Requests that have come. */
    std::size_t requests() const { return state_->requests; }

    /** Connections that are open. */
    std::size_t open() const { return state_->open; }

    /** The most bytes that were written to one connection. */
    std::size_t mostWritten() const { return state_->mostWritten; }

private:
    struct State
    {
        std::size_t requests = 0;
        std::size_t open = 0;
        std::size_t mostWritten = 0;
    };

    using SharedState = std::shared_ptr<State>;

    boost::asio::awaitable<void> accept();
    static boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket,
                                              EndlessAnswer answer, SharedState state);

    boost::asio::io_context &io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    SharedState state_ = std::make_shared<State>();
};

} // namespace limereel::support
