/** \file
 * The log lines of a request, with the inputs of each decision, so that an on-call engineer can
 * find by its id what was known when it was sent, failed or ended.
 */
#pragma once

#include "gateway/RunState.h"
#include "services/CrashService.h"

#include <string>
#include <string_view>

namespace limereel::gateway {

/** Logs that the request is sent to the chosen server. */
void logSend(const RunState &run);

/** Logs that a stream isn't continued, and why. */
void logNotContinued(const RunState &run, std::string_view why);

/** Logs that the request is sent through another box. */
void logDetour(const RunState &run, const std::string &box);

/** Logs that another box didn't serve the request. */
void logDetourFailure(const RunState &run, const std::string &box, const std::string &result,
                      const std::string &why);

/** Logs that an attempt failed. \param sent whether anything had been sent to the server. */
void logFailure(RunState &run, forward::Failure failure, const std::string &message, bool sent);

/** Logs that the server of the attempt asks this box for backoff ("rest" in the log). */
void logBackoffRequested(const RunState &run, kernel::Duration asked);

/** Logs that the server of the attempt announces its shutdown. */
void logLeaving(const RunState &run);

/** Logs that the server asks for backoff in a format that can't be parsed. */
void logBackoffUnreadable(const RunState &run);

/** Logs that the request isn't sent because backend servers crashed while running it. */
void logSendDenied(RunState &run, const services::SendPermission &permission);

/** Logs that the request got no place at \a server. */
void logNoPlace(const RunState &run, const std::string &server, const PlaceOutcome &outcome);

/** Logs the end of the request. */
void logEnd(const RunState &run, std::string_view result, const std::string &why = {});

} // namespace limereel::gateway
