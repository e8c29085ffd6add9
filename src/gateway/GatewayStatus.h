/** \file
 * The current state of a gateway for operators: its configuration and how fresh it is, the other
 * boxes, and the backend servers with their loads.
 */
#pragma once

#include "gateway/FleetView.h"

#include <nlohmann/json.hpp>

namespace limereel::gateway {

/** Path of the status at the control address. */
inline constexpr const char *StatusPath = "/v1/status";

/** Path at which an operator allows a stopped request to run again; the query has its identity. */
inline constexpr const char *LiftPath = "/v1/requests/lift";

/** The status of this box; contains no secrets. */
nlohmann::json statusOf(services::Context &context, FleetView &fleetView, bool leaving);

/** The status as readable text, one line per item. */
std::string statusText(const nlohmann::json &status);

} // namespace limereel::gateway
