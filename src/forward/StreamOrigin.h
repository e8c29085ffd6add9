/** \file
 * Which backend server began a stream. What servers of two software versions write doesn't fit
 * together, and they don't check it, so a stream may be continued only by a server of the version
 * that began it.
 */
#pragma once

#include "forward/Backend.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limereel::forward {

/** The server whose events the caller of a stream has received. */
struct StreamOrigin
{
    std::uint64_t service = 0; ///< Hash of the name of its service; 0: unknown.
    std::uint64_t server = 0;  ///< Hash of its incarnation; 0: unknown.
    SoftwareVersion version;

    /** The origin of a stream that \a server has begun. */
    static StreamOrigin of(const ListedServer &server);

    /** Whether \a server may continue the stream: it is the same incarnation, or one of the same
     * service and software version. If the version is unknown, only the same incarnation may. */
    bool mayContinueAt(const ListedServer &server) const;

    /** Whether both may have been told of the same stream. */
    bool agreesWith(const StreamOrigin &other) const;

    auto operator<=>(const StreamOrigin &) const = default;
};

/** The form in which boxes tell each other of it: 48 hexadecimal digits. */
std::string text(const StreamOrigin &origin);

/** The origin that text() has written; nothing if \a text is none. */
std::optional<StreamOrigin> streamOriginFrom(std::string_view text);

} // namespace limereel::forward
