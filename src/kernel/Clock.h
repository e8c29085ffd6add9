/** \file
 * The clock of the process: steady, whatever the time of day does, and it counts the time in which
 * the machine was suspended. Keys are taken away, leases run out and servers leave in that time,
 * too; to the decisions a suspension is a standstill of the process.
 *
 * Timers of the event loop go by the steady clock, which stands still in a suspension: one that has
 * to end in time is looked at again within a bounded wait (http/AnswerTimer.h).
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::kernel {

/** Now. */
Instant now();

} // namespace limereel::kernel
