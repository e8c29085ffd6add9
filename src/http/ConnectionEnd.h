/** \file
 * How a caller's connection came to its end: who ended it, why, and whether something that the
 * caller had sent was left unread. The one place that can say what became of a request of which no
 * other line tells.
 */
#pragma once

#include "http/SocketState.h"
#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace limereel::http {

/** Why a connection ended. */
enum class EndReason : std::uint8_t {
    CallerClosed, ///< The caller closed it between two requests.
    CallerBroke,  ///< The caller closed it, or it broke, within a request.
    RestLimit,    ///< It rested for as long as it may.
    HeadLimit,    ///< A request wasn't whole in time.
    Draining,     ///< The box stops; it closes what rests.
    LastAnswer,   ///< The answer said that it closes the connection.
    Unanswered,   ///< The run of a request ended with no whole answer.
    RunFailed,    ///< The run of a request failed in the box itself.
    Refused       ///< What came was no request, or too large, or one connection too many.
};

/** Name for logs and metrics. */
std::string_view text(EndReason reason);

/** The end of one connection. */
struct ConnectionEnd
{
    EndReason reason = EndReason::CallerClosed;
    Arrived unread = Arrived::Nothing; ///< What the caller had sent and the box didn't read.
    std::uint32_t requests = 0;        ///< That were read on it.
    std::uint32_t lateLooks = 0; ///< Limits that had run out when what they waited for had come.
    kernel::Duration rested{};   ///< Since it was opened, or since its last answer.
    kernel::Duration reading{};  ///< Since the first bytes of a request that wasn't whole.
    std::size_t readBytes = 0;   ///< Of that request.
    std::string fault;           ///< What failed in the box itself.

    bool operator==(const ConnectionEnd &) const = default;
};

} // namespace limereel::http
