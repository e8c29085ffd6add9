/** \file
 * Which services have servers of several software versions, or had them until a moment ago. Only
 * there it matters after a power loss which version began a stream, so only there is it written to
 * the store.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace limereel::forward {

/** The services with several versions. Deterministic: callers pass in the current time. */
class MixedVersions
{
public:
    /** Streams that began beside another version's servers may outlive these by this much. */
    static constexpr kernel::Duration Kept = 15s;

    /** The versions of each service's listed servers, all as hashes; 0: a version is unknown. */
    using Listed = std::map<std::uint64_t, std::set<std::uint64_t>>;

    void update(const Listed &listed, kernel::Instant now);

    bool isMixed(std::uint64_t service, kernel::Instant now) const;
    bool any(kernel::Instant now) const;

private:
    std::map<std::uint64_t, kernel::Instant> until_; ///< By service.
};

/** The pause between two writes of each of \a boxes, so that all together use a fraction of the
 * \a writesPerSecond that the store allows. */
kernel::Duration archivePause(std::size_t boxes, double writesPerSecond);

} // namespace limereel::forward
