/** \file
 * The permits that an owner had granted on each of its engines at its last heartbeats, by time.
 *
 * The load that an engine reports is out of date when it is sent, and more so when it is read, as
 * the reader may have been paused. Permits granted at any moment since then account for that load.
 */
#pragma once

#include "kernel/decisions/Time.h"
#include "routing/LoadTable.h"

#include <deque>

namespace limereel::routing {

/** The history of one owner. Reads no clock: the time is passed in. */
class PermitHistory
{
public:
    /** \param kept period that the history covers. */
    explicit PermitHistory(kernel::Duration kept)
        : kept_(kept)
    {
    }

    /** Records the permits on all own engines at \a now, which must not decrease between calls. */
    void note(OwnLoads permits, kernel::Instant now);

    /** The largest number of permits on \a engine at any recorded moment from \a since on. */
    std::uint32_t maxPermitsSince(std::uint64_t engine, kernel::Instant since) const;

private:
    struct Entry
    {
        kernel::Instant at;
        OwnLoads permits;
    };

    kernel::Duration kept_;
    std::deque<Entry> entries_; ///< Newest first.
};

} // namespace limereel::routing
