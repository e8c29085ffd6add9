/** \file
 * Backend servers that have announced their shutdown, by incarnation. An outdated list or a good
 * answer doesn't undo the announcement; a new incarnation isn't affected by it.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace limereel::forward {

/** The announcements known to one box. Deterministic: callers pass in the current time. */
class LeavingServers
{
public:
    /** \param keptFor how long an announcement is kept after its incarnation was last listed. */
    explicit LeavingServers(kernel::Duration keptFor)
        : keptFor_(keptFor)
    {
    }

    /** Records that \a incarnationKey has announced its shutdown. \return whether that is new. */
    bool note(std::uint64_t incarnationKey, kernel::Instant now);

    bool contains(std::uint64_t incarnationKey) const
    {
        return lastListed_.contains(incarnationKey);
    }

    /** Drops announcements of incarnations that haven't been listed for a while. \param listed
     * whether an incarnation is still listed. */
    void expire(kernel::Instant now,
                const std::function<bool(std::uint64_t incarnationKey)> &listed);

    std::size_t size() const { return lastListed_.size(); }

private:
    kernel::Duration keptFor_;
    /** When each incarnation was last listed. */
    std::unordered_map<std::uint64_t, kernel::Instant> lastListed_;
};

} // namespace limereel::forward
