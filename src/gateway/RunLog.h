/** \file
 * The lines that a request leaves in the log, with the inputs of each decision: an on-call engineer
 * gets from its id to what was known when it was sent, failed or ended.
 */
#pragma once

#include "gateway/RunState.h"
#include "services/CrashService.h"

#include <string>
#include <string_view>

namespace limereel::gateway {

/** The request goes to the chosen server. */
void logSend(const RunState &run);

/** An attempt failed. \param sent whether anything had left for the server. */
void logFailure(RunState &run, forward::Failure failure, const std::string &message, bool sent);

/** The server of the attempt asks this box for rest. */
void logRest(const RunState &run, kernel::Duration asked);

/** The server of the attempt says that it leaves. */
void logLeaving(const RunState &run);

/** It asks for rest in a way that can't be read. */
void logRestUnreadable(const RunState &run);

/** The request isn't sent, as backend servers have ended under it. */
void logNoLeave(RunState &run, const services::SendPermission &leave);

/** The request is over. */
void logEnd(const RunState &run, std::string_view result, const std::string &why = {});

} // namespace limereel::gateway
