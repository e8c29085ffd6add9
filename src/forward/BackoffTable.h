/** \file
 * Which backend servers have asked this box for rest, and until when. A server that turns a request
 * away may say for how long it wants nothing more from the box that sent it.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <unordered_map>

namespace limereel::forward {

/** The rests of one box. Pure: time is handed in. */
class BackoffTable
{
public:
    /** \param longest what is kept of a longer rest. */
    explicit BackoffTable(kernel::Duration longest)
        : longest_(longest)
    {
    }

    /**
     * The server asks for rest. A shorter word doesn't cut a longer one that still holds.
     * \param life names the server's life: one that takes its address over asked for nothing.
     * \param asked from \a now on.
     * \return the end of its rest.
     */
    kernel::Instant note(std::uint64_t life, kernel::Duration asked, kernel::Instant now);

    /** The end of the last rest that \a life asked for; the epoch if there is none. */
    kernel::Instant until(std::uint64_t life) const;

    /** Forgets the rests that are over. */
    void expire(kernel::Instant now);

    std::size_t size() const { return until_.size(); }

private:
    kernel::Duration longest_;
    std::unordered_map<std::uint64_t, kernel::Instant> until_;
};

} // namespace limereel::forward
