/** \file
 * Leases for requests that may only be sent alone: the owner of such a request allows one send at a
 * time, whichever box asks.
 */
#pragma once

#include "forward/RequestIdentity.h"
#include "kernel/decisions/Time.h"

#include <unordered_map>

namespace limereel::forward {

/** The leases granted by one owner. Deterministic: callers pass in the current time. */
class SingleSendLeases
{
public:
    /** Grants the send \a ask a lease until \a until, unless another send holds one. \return how
     * long to wait before asking again; zero: the lease is granted. */
    kernel::Duration tryAcquire(const RequestIdentity &request, std::uint64_t ask,
                                kernel::Instant until, kernel::Instant now);

    /** Ends the lease of the send \a ask. */
    void releaseLease(const RequestIdentity &request, std::uint64_t ask);

    /** Drops leases that ran out without the box having ended them. */
    void expire(kernel::Instant now);

    std::size_t size() const { return sends_.size(); }

private:
    struct Send
    {
        std::uint64_t ask = 0;
        kernel::Instant until;
    };

    std::unordered_map<RequestIdentity, Send> sends_;
};

} // namespace limereel::forward
