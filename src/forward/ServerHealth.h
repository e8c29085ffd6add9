/** \file
 * Which backend servers are doubted, from the requests that they were sent.
 *
 * A doubted server gets single requests again after a pause that doubles. Time in which this
 * process stood still counts as no silence of others: their bytes lay unread in its sockets.
 */
#pragma once

#include "forward/HallReachability.h"
#include "forward/ServerPolicy.h"
#include "forward/ServerRecord.h"

#include <optional>

namespace limereel::forward {

/** How an attempt at a backend server went wrong. */
enum class Failure : std::uint8_t {
    Unreachable, ///< A connection was refused.
    NoResponse,  ///< Nothing came back while connecting.
    Lost,        ///< The connection ended, or bytes came that form no answer.
    Silent,      ///< No answer in the time that it should take.
    Error,       ///< It answered that it failed.
    Full         ///< It rejected the request as it has no place.
};

/** The name of \a failure for logs and counters. */
const char *text(Failure failure);

/** The judgement of one box. Pure: time is handed in. */
class ServerHealth
{
public:
    explicit ServerHealth(const ServerPolicy &policy)
        : policy_(policy)
    {
    }

    /** Whether nothing has come from the server for too long while answers are due. */
    bool silent(const ServerRecord &record, kernel::Instant now) const;

    /** Whether the server gets nothing for now, as far as others can be had. */
    bool isSuspected(const ServerRecord &record, kernel::Instant now) const;

    /** What the server says of its hall. */
    ServerSign signOf(const ServerRecord &record, kernel::Instant now) const;

    void noteFailure(ServerRecord &record, Failure failure, kernel::Instant now) const;

    /** How long nothing was heard that was last heard at \a since, standstills left out. */
    kernel::Duration silence(kernel::Instant since, kernel::Instant now) const;

    /** What of the time after \a since this box stood still, as far as noteAwake() wasn't told. */
    kernel::Duration stalledFor(kernel::Instant since, kernel::Instant now) const;

    /** The box runs. */
    void noteAwake(kernel::Instant now) { awakeAt_ = now; }

private:
    ServerPolicy policy_;
    std::optional<kernel::Instant> awakeAt_;
};

} // namespace limereel::forward
