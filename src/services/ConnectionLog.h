/** \file
 * Metrics and log lines for closed connections of callers: a counter by reason, and a log line for
 * each connection whose end may have lost a request. A request that was never read appears in no
 * other log line.
 */
#pragma once

#include "http/ConnectionEnd.h"
#include "kernel/Counters.h"

namespace limereel::services {

/** Counts \a end, and logs it if a request may have been lost with the connection. */
void recordConnectionEnd(kernel::Counters &counters, const http::ConnectionEnd &end);

} // namespace limereel::services
