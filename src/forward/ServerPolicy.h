/** \file
 * The settings by which a box judges and chooses backend servers.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <string>

namespace limereel::forward {

/** The settings. */
struct ServerPolicy
{
    std::string hall;        ///< Of the box: its own hall is preferred.
    double loadMultiple = 2; ///< Most load, as a multiple of the mean.
    kernel::Duration partRemembered = 10s;
    kernel::Duration newServerAge =
            10s;                      ///< For so long, a new server is not thought to hold parts.
    kernel::Duration silence = 250ms; ///< Of a plain server while an answer is due.
    kernel::Duration engineSilence = 900ms; ///< Of an engine, which may be reading a long prompt.
    kernel::Duration firstSuspicion = 250ms;
    kernel::Duration maxSuspicion = 4s;
    /** A server that holds a prompt's parts goes before the first in the order if it stands within
     * so many of it: the first may have come since they were read. Moves of parts cost 0.6 of a
     * hundred of a day's worth less (0.031 -> 0.025, three days of two deployments), but fewer
     * copies are left when servers crash (parts read again 0.034 -> 0.038). Further down the order
     * a box that has forgotten where the parts lie wouldn't look for them. */
    std::size_t nearHolders = 3;
    std::size_t quietServers = 2;       ///< Of a hall; then the way to it is doubted.
    kernel::Duration hallTrial = 500ms; ///< Between two requests to a doubted hall.
    kernel::Duration maxBackoff = 600s; ///< What is kept of a longer rest that a server asks for.
    /** For so long after one of them has asked for rest, the servers of a service get no more than
     * they have places. */
    kernel::Duration limitedToSlots = 60s;
    kernel::Duration leavingKept = 600s;     ///< After a server that said that it leaves was last
                                             ///< listed; a list that is behind may name it anew.
    kernel::Duration stallThreshold = 150ms; ///< Longer between two calls of noteAwake(), made each
                                             ///< 100 ms, is a standstill.
};

} // namespace limereel::forward
