#include "services/ConnectionLog.h"

#include "kernel/Log.h"

#include <nlohmann/json.hpp>
#include <string>

namespace limereel::services {

namespace {

const kernel::Log &log()
{
    static const kernel::Log Log("callers");
    return Log;
}

bool mayHaveLostRequest(const http::ConnectionEnd &end)
{
    return end.lateLooks > 0 || end.unread == http::Arrived::Bytes
           || end.reason == http::EndReason::HeadLimit || end.reason == http::EndReason::CallerBroke
           || end.reason == http::EndReason::RunFailed;
}

} // namespace

void recordConnectionEnd(kernel::Counters &counters, const http::ConnectionEnd &end)
{
    const std::string reason(http::text(end.reason));
    const std::string unread(http::text(end.unread));
    counters.add("caller_connections_ended", {{"reason", reason}, {"unread", unread}});
    if (end.lateLooks > 0) {
        counters.add("caller_late_looks", {}, end.lateLooks);
    }
    if (mayHaveLostRequest(end)) {
        log().event("connection-ended",
                    {{"reason", reason},
                     {"unread", unread},
                     {"requests", end.requests},
                     {"rested_ms", end.rested / 1ms},
                     {"reading_ms", end.reading / 1ms},
                     {"read_bytes", end.readBytes},
                     {"late_looks", end.lateLooks},
                     {"fault", end.fault}},
                    "A request may have been lost, or nearly was, when this connection ended.");
    }
}

} // namespace limereel::services
