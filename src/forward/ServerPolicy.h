/** \file
 * The settings for assessing and choosing backend servers.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <string>

namespace limereel::forward {

/** The settings of one box. */
struct ServerPolicy
{
    std::string hall;        ///< The box's hall, whose servers are preferred.
    double loadMultiple = 2; ///< Upper bound on load, as a multiple of the mean.
    kernel::Duration partRemembered = 10s;
    /** For this long a new server is assumed to hold no prompt parts. */
    kernel::Duration newServerAge = 10s;
    /** Silence of a plain server with answers pending, after which it is suspected. */
    kernel::Duration silence = 250ms;
    /** The same for an engine, which may be reading a long prompt. */
    kernel::Duration engineSilence = 900ms;
    kernel::Duration firstSuspicion = 250ms;
    kernel::Duration maxSuspicion = 4s;
    /** A server that holds a prompt's parts is preferred to the first server in the prompt's order
     * if it is among this many at the head of that order: the first one may have been added after
     * the parts were read. This lowers the cost of moving parts from 0.031 to 0.025 of a day's
     * total value (three days of two deployments), but leaves fewer copies when servers crash
     * (parts read again rose from 0.034 to 0.038). A box that no longer remembers where the parts
     * are wouldn't look further down the order. */
    std::size_t nearHolders = 3;
    /** Unresponsive servers of a hall after which the network path to it is suspected. */
    std::size_t quietServers = 2;
    /** Interval between two trial requests to a suspected hall. */
    kernel::Duration hallTrial = 500ms;
    kernel::Duration maxBackoff = 600s; ///< Upper bound on a backoff that a server asks for.
    /** For this long after any server of a service asked for backoff, none of the service's servers
     * gets more requests than it has slots. */
    kernel::Duration limitedToSlots = 60s;
    /** How long an announced shutdown is remembered after the server was last listed; an
     * outdated list may name the server again. */
    kernel::Duration leavingKept = 600s;
    /** A longer gap between two calls of noteAwake(), which is called every 100 ms, counts as a
     * stall of this process. */
    kernel::Duration stallThreshold = 150ms;
    /** Whether the servers of a plain service are compared by the time that their answers take, and
     * whether retries avoid servers with failures. */
    bool comparePaces = false;
};

} // namespace limereel::forward
