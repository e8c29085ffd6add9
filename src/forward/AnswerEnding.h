/** \file
 * Decides whether an answer that came to its end without an error is complete.
 *
 * A server that crashes closes its connections in the same way as one that has sent everything, so
 * the end of a connection proves nothing by itself. What else is known decides: how the answer is
 * framed, whether a stream has stopped inside an event, and whether the server still listens.
 */
#pragma once

#include "http/BodyEnd.h"

#include <cstdint>

namespace limereel::forward {

/** What is known of the end of an answer. */
struct AnswerEnding
{
    http::BodyEnd end = http::BodyEnd::ConnectionClosed;
    bool eventStream = false; ///< The body is a stream of events.
    bool insideEvent = false; ///< The stream has stopped inside one.
    bool anyEvent = false;    ///< The caller has at least one event of the stream.
    bool serverGone = false;  ///< The server refused a connection right after the end.

    auto operator<=>(const AnswerEnding &) const = default;
};

/** Whether an answer is complete. */
enum class Completeness : std::uint8_t {
    Complete, ///< Known to be.
    Unmarked, ///< Nothing marks its end, and nothing shows that its server broke it off.
    BrokenOff ///< Known not to be, or nearly certain.
};

/** Name for logs and metrics. */
const char *text(Completeness completeness);

Completeness completenessOf(const AnswerEnding &ending);

/** Whether the server's state decides on an answer with this end. */
bool needsServerState(const AnswerEnding &ending);

} // namespace limereel::forward
