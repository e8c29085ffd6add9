/** \file
 * How the body of an answer came to its end. Only some ends show that nothing is missing: a process
 * that crashes closes its connections just as one does that has sent everything.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limereel::http {

/** The ends of a body that was read without an error. One that was cut off is a CallFailure. */
enum class BodyEnd : std::uint8_t {
    NoBody,          ///< The answer can't have a body.
    LengthReached,   ///< All bytes of its Content-Length have come.
    LastChunk,       ///< Its last chunk has come.
    ConnectionClosed ///< It has neither; its sender closed the connection without an error.
};

/** Whether the sender marked the end, so that the body is known to be complete. */
constexpr bool isMarked(BodyEnd end)
{
    return end != BodyEnd::ConnectionClosed;
}

/** Name for logs and metrics. */
std::string_view text(BodyEnd end);

/** The next piece of a body: bytes, or its end. */
struct BodyPart
{
    std::string bytes;          ///< Empty only at the end.
    std::optional<BodyEnd> end; ///< Set once no more bytes follow; \c bytes is empty then.

    auto operator<=>(const BodyPart &) const = default;
};

/** A body that was read to its end. */
struct Body
{
    std::string bytes;
    BodyEnd end = BodyEnd::NoBody;

    auto operator<=>(const Body &) const = default;
};

} // namespace limereel::http
