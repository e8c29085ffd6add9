/** \file
 * What the operating system holds for a socket, looked at without taking it.
 *
 * A process that stood still finds the end of a time limit and the bytes that were waited for at
 * the same moment. The event loop may handle either one first, so whoever closes a connection
 * because nothing came looks here before.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace limereel::http {

/** What has come on a socket and isn't read yet. */
enum class Arrived : std::uint8_t {
    Nothing, ///< Neither bytes nor an end.
    Bytes,   ///< At least one byte.
    End,     ///< The peer has closed its side, and all that it sent is read.
    Broken   ///< The connection was reset, or isn't open.
};

/** Name for logs and metrics, in lower case. */
std::string_view text(Arrived arrived);

/** Looks at the socket with the native handle \a socket; never blocks. */
Arrived arrivedAt(int socket);

/** Whether \a socket takes bytes to send, or is broken; never blocks. */
bool hasRoom(int socket);

/** Whether an attempt to connect \a socket is over, well or badly; never blocks. */
bool connectIsOver(int socket);

/** How long ago the last bytes came on the TCP connection \a socket, read or not; since it was
 * made if none have. Nothing if it isn't open. */
std::optional<kernel::Duration> sinceLastBytes(int socket);

} // namespace limereel::http
