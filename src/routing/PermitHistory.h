/** \file
 * What an owner had granted on each of its engines at its last heartbeats, by time.
 *
 * An engine's report is old when it is made and older when it is read, as the reader may have stood
 * still. What was granted at any moment since explains the load that it tells.
 */
#pragma once

#include "kernel/decisions/Time.h"
#include "routing/LoadTable.h"

#include <deque>

namespace limereel::routing {

/** The history of one owner. Pure: time is handed in. */
class PermitHistory
{
public:
    /** \param kept how far back it reaches. */
    explicit PermitHistory(kernel::Duration kept)
        : kept_(kept)
    {
    }

    /** Notes the permits on all own engines at \a now, which never goes back. */
    void note(OwnLoads permits, kernel::Instant now);

    /** The most permits on \a engine at any moment from \a since on, as far as is kept. */
    std::uint32_t maxPermitsSince(std::uint64_t engine, kernel::Instant since) const;

private:
    struct Beat
    {
        kernel::Instant at;
        OwnLoads permits;
    };

    kernel::Duration kept_;
    std::deque<Beat> beats_; ///< Newest first.
};

} // namespace limereel::routing
