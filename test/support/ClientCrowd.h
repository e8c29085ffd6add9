/** \file
 * Many clients that send the same bytes at once, as fast as they are taken, and then keep their
 * connections open without reading.
 */
#pragma once

#include "kernel/BoxSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace limereel::support {

/** What each client of a crowd sends. */
struct CrowdBytes
{
    std::string begin;
    std::string unit;      ///< Follows again and again.
    std::size_t total = 0; ///< Bytes to send; the last unit may be sent in part.

    auto operator<=>(const CrowdBytes &) const = default;
};

/** The crowd. Its connections end with it. */
class ClientCrowd
{
public:
    ClientCrowd(boost::asio::io_context &io, const kernel::Endpoint &where, const CrowdBytes &bytes,
                std::size_t clients);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd &) = delete;
    ClientCrowd &operator=(const ClientCrowd &) = delete;

    /** Whether each client has sent all that it has or has lost its connection. */
    bool settled() const { return state_->sending == 0; }

    /** Clients that have sent everything. */
    std::size_t done() const { return state_->done; }

private:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    struct State
    {
        std::string block; ///< Whole units.
        CrowdBytes bytes;
        std::size_t sending = 0;
        std::size_t done = 0;
    };

    static boost::asio::awaitable<void> send(Socket socket, kernel::Endpoint where,
                                             std::shared_ptr<State> state);
    static boost::asio::awaitable<bool> sendAll(Socket socket, std::shared_ptr<State> state);

    std::shared_ptr<State> state_ = std::make_shared<State>();
    std::vector<Socket> sockets_;
};

} // namespace limereel::support
