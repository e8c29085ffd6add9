/** \file
 * Which requests are being sent alone: the owner of such a request lets one send of it run at a
 * time, whatever box asks.
 */
#pragma once

#include "forward/RequestIdentity.h"
#include "kernel/decisions/Time.h"

#include <unordered_map>

namespace limereel::forward {

/** The ledger of one owner. Pure: time is handed in. */
class SingleSendLeases
{
public:
    /** Lets the send \a ask run until \a until at most, if no other one does. \return when to come
     * back; zero: it may run. */
    kernel::Duration tryAcquire(const RequestIdentity &request, std::uint64_t ask,
                                kernel::Instant until, kernel::Instant now);

    /** The send \a ask is over. */
    void releaseLease(const RequestIdentity &request, std::uint64_t ask);

    /** Drops those whose boxes said nothing more. */
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
