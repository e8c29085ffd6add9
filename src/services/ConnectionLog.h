/** \file
 * What is told of the ends of callers' connections: a counter by reason, and a line for each end
 * that may have cost a caller its request. No other line tells of a request that was never read.
 */
#pragma once

#include "http/ConnectionEnd.h"
#include "kernel/Counters.h"

namespace limereel::services {

/** Counts \a end, and logs it where something was left unread or unanswered. */
void recordConnectionEnd(kernel::Counters &counters, const http::ConnectionEnd &end);

} // namespace limereel::services
