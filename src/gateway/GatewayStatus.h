/** \file
 * What a gateway knows at this moment, for people: its configuration and how fresh it is, the other
 * boxes, the backend servers with their loads.
 */
#pragma once

#include "gateway/FleetView.h"

#include <nlohmann/json.hpp>

namespace limereel::gateway {

/** The path at the control address. */
inline constexpr const char *StatusPath = "/v1/status";

/** Where an operator lets a stopped request run again: the identity in the query. */
inline constexpr const char *LiftPath = "/v1/requests/lift";

/** The status of this box; holds no secret. */
nlohmann::json statusOf(services::Context &context, FleetView &fleetView, bool leaving);

/** The same in a person's words, a line each. */
std::string statusText(const nlohmann::json &status);

} // namespace limereel::gateway
