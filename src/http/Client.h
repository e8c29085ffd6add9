/** \file
 * An HTTP/1.1 client over Beast that says how far a call had come when it failed.
 *
 * Each call has a connection of its own. A kept one can be closed by the server just as a request
 * goes out, and then nobody knows whether it ran; a new one costs a round trip within the hall.
 */
#pragma once

#include "http/AnswerBound.h"
#include "http/BodyEnd.h"
#include "http/Message.h"
#include "kernel/BoxSettings.h"
#include "outcome/Attempt.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace limereel::http {

/** A call that failed. */
struct CallFailure
{
    outcome::FailurePoint point = outcome::FailurePoint::BeforeConnect;
    bool timedOut = false;
    std::string message;
    std::optional<AnswerBound> passed; ///< Set if a part of the answer was too long.
};

/** Longest waits of a call. */
struct CallTimeouts
{
    kernel::Duration connect = 1s;
    kernel::Duration head = 10s; ///< From the last byte sent to the first byte of the answer.
    kernel::Duration part = 10s; ///< Between two parts of the answer's body.
};

/** Bytes that went over the wire for a call, heads and bodies, TCP's own left out. */
struct CallBytes
{
    std::size_t sent = 0;
    std::size_t received = 0;
};

/** An answer whose body is read in parts. Dropping it closes the connection. */
class Stream
{
public:
    /** Connects, sends \a request and reads the answer's head. */
    static boost::asio::awaitable<tl::expected<Stream, CallFailure>>
    open(boost::asio::io_context &io, kernel::Endpoint endpoint, Request request,
         CallTimeouts timeouts);

    Stream(Stream &&) noexcept;
    Stream &operator=(Stream &&) noexcept;
    ~Stream();

    int status() const;
    std::string field(std::string_view name) const;
    Fields fields() const;

    /** The next part of the body, or its end. A connection that ends early is a failure. */
    boost::asio::awaitable<tl::expected<BodyPart, CallFailure>> read();

    CallBytes bytes() const;

private:
    struct Connection;
    explicit Stream(std::unique_ptr<Connection> connection);
    std::unique_ptr<Connection> connection_;
};

/** A whole call. \param mostBytes the longest body that is taken. */
boost::asio::awaitable<tl::expected<Answer, CallFailure>>
call(boost::asio::io_context &io, kernel::Endpoint endpoint, Request request, CallTimeouts timeouts,
     std::size_t mostBytes = 4194304);

} // namespace limereel::http
