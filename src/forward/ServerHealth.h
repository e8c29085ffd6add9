/** \file
 * Failure detection for backend servers, based on the requests that they were sent.
 *
 * A suspected server gets single requests again after a pause that doubles with each failure. A
 * stall of this process doesn't count as silence of servers: their bytes lay unread in its sockets.
 */
#pragma once

#include "forward/HallReachability.h"
#include "forward/ServerPolicy.h"
#include "forward/ServerRecord.h"

#include <optional>

namespace limereel::forward {

/** How an attempt at a backend server failed. */
enum class Failure : std::uint8_t {
    Unreachable, ///< A connection was refused.
    NoResponse,  ///< A connection attempt got no response.
    Lost,        ///< The connection ended, or the bytes received are no valid answer.
    Silent,      ///< No answer within the time allowed.
    Error,       ///< It answered with a failure.
    Full         ///< It rejected the request, as all its slots are taken.
};

/** The name of \a failure for logs and counters. */
const char *text(Failure failure);

/** The failure detector of one box. Deterministic: callers pass in the current time. */
class ServerHealth
{
public:
    explicit ServerHealth(const ServerPolicy &policy)
        : policy_(policy)
    {
    }

    /** Whether the server has sent nothing for too long while answers are pending. */
    bool silent(const ServerRecord &record, kernel::Instant now) const;

    /** Whether the server is suspected: it gets no requests as long as others are available. */
    bool isSuspected(const ServerRecord &record, kernel::Instant now) const;

    /** What the server's state indicates about the network path to its hall. */
    ServerSign signOf(const ServerRecord &record, kernel::Instant now) const;

    void noteFailure(ServerRecord &record, Failure failure, kernel::Instant now) const;

    /** The time since \a since, when bytes last arrived, less the stalls of this process. */
    kernel::Duration silence(kernel::Instant since, kernel::Instant now) const;

    /** How long this process has been stalled after \a since, not counting stalls that ended before
     * the last call of noteAwake(). */
    kernel::Duration stalledFor(kernel::Instant since, kernel::Instant now) const;

    /** Records that this process is running. */
    void noteAwake(kernel::Instant now) { awakeAt_ = now; }

private:
    ServerPolicy policy_;
    std::optional<kernel::Instant> awakeAt_;
};

} // namespace limereel::forward
