/** \file
 * Whether a wait for a peer's bytes goes on after its time has run out.
 *
 * A process that stood still handles the end of a wait before it has read what arrived meanwhile.
 * So the end of a wait only begins some looks, and the wait goes on while the connection brings
 * bytes.
 */
#pragma once

#include "http/SocketState.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <optional>

namespace limereel::http {

/** What a connection has brought. */
struct Heard
{
    std::uint64_t read = 0;             ///< Bytes that its reader has got so far.
    Arrived waiting = Arrived::Nothing; ///< What its reader can get at once.
};

/** The looks after the end of one wait. */
class LateLooks
{
public:
    /**
     * \param longest time that all looks may take, as counted with \a mostBetween, so that a peer
     * that always brings something can't hold the wait open.
     * \param mostBetween what the time between two looks counts at most: the process stood still
     * for the rest of it.
     */
    LateLooks(kernel::Duration longest, kernel::Duration mostBetween)
        : longest_(longest)
        , mostBetween_(mostBetween)
    {
    }

    /** Whether the wait goes on after a look at \a now that found \a heard. */
    bool goOn(kernel::Instant now, const Heard &heard);

private:
    kernel::Duration longest_;
    kernel::Duration mostBetween_;
    kernel::Duration used_{};             ///< Of the longest time.
    std::optional<kernel::Instant> last_; ///< The last look.
    std::uint64_t read_ = 0;              ///< At the last look.
};

} // namespace limereel::http
