/** \file
 * Reads one request from a connection within the limits of its server and the byte budget of the
 * box.
 */
#pragma once

#include "http/ByteBudget.h"
#include "http/ConnectionReply.h"
#include "http/Server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <optional>

namespace limereel::http {

/** The largest size of a connection's buffer. */
std::size_t bufferBytes(const ServerLimits &limits);

/** How the reading of a request ended. */
struct RequestRead
{
    std::optional<Request> request; ///< Nullopt if it wasn't read, or has to be refused.
    ReplyForm form;                 ///< Of its answer.
    std::optional<Refused> refused; ///< Set if the client is to be told that it is refused.
    std::size_t bytes = 0;          ///< Read of it, with what is still in the buffer.
};

/** Reads the next request. What it holds is counted in \a share, which gives way by cancelling the
 * reads of \a socket. */
boost::asio::awaitable<RequestRead> readRequest(boost::asio::ip::tcp::socket &socket,
                                                boost::beast::flat_buffer &buffer,
                                                const ServerLimits &limits,
                                                ByteBudget::Share &share);

} // namespace limereel::http
