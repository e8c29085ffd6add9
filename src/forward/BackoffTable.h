/** \file
 * Backend servers that have asked this box for backoff, and until when. A server that rejects a
 * request may say for how long it wants no more requests from the box that sent it.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <unordered_map>

namespace limereel::forward {

/** The backoffs requested from one box. Deterministic: callers pass in the current time. */
class BackoffTable
{
public:
    /** \param longest upper bound on a backoff. */
    explicit BackoffTable(kernel::Duration longest)
        : longest_(longest)
    {
    }

    /**
     * Records that a server asks for backoff. A shorter backoff doesn't end a longer one that is
     * still in force.
     * \param incarnationKey the server's incarnation: another one at the same address isn't
     * affected.
     * \param asked the backoff asked for, from \a now on.
     * \return the end of the server's backoff.
     */
    kernel::Instant note(std::uint64_t incarnationKey, kernel::Duration asked, kernel::Instant now);

    /** The end of the last backoff that \a incarnationKey asked for; the epoch if there is none. */
    kernel::Instant until(std::uint64_t incarnationKey) const;

    /** Drops the backoffs that have ended. */
    void expire(kernel::Instant now);

    std::size_t size() const { return until_.size(); }

private:
    kernel::Duration longest_;
    std::unordered_map<std::uint64_t, kernel::Instant> until_;
};

} // namespace limereel::forward
