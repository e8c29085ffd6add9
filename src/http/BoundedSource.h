/** \file
 * A socket as the source of Beast's parser that gives it no more than an allowance of bytes for one
 * step. The parser waits for the whole framing of a chunk, and for all trailers, without a limit.
 */
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/bind_handler.hpp>
#include <boost/beast/core/buffers_prefix.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <utility>

namespace limereel::http {

/** The source of one connection. Meets the requirements of an AsyncReadStream. */
class BoundedSource
{
public:
    // Beast asks for these names.
    // NOLINTBEGIN(readability-identifier-naming)
    using executor_type = boost::asio::ip::tcp::socket::executor_type;

    explicit BoundedSource(boost::asio::ip::tcp::socket &socket)
        : socket_(socket)
    {
    }

    executor_type get_executor() { return socket_.get_executor(); }

    /** The next step may read \a bytes. */
    void allow(std::size_t bytes) { left_ = bytes; }

    /** Reads within the allowance; fails with header_limit where it is used up. */
    template <typename Buffers, typename Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler)
    {
        if (left_ == 0) {
            boost::beast::error_code over = boost::beast::http::error::header_limit;
            boost::asio::post(get_executor(),
                              boost::beast::bind_front_handler(std::forward<Handler>(handler), over,
                                                               std::size_t(0)));
            return;
        }
        socket_.async_read_some(boost::beast::buffers_prefix(left_, buffers),
                                [this, handler = std::forward<Handler>(handler)](
                                        boost::beast::error_code error, std::size_t bytes) mutable {
                                    left_ -= bytes;
                                    handler(error, bytes);
                                });
    }

    // NOLINTEND(readability-identifier-naming)

private:
    boost::asio::ip::tcp::socket &socket_;
    std::size_t left_ = 0;
};

} // namespace limereel::http
