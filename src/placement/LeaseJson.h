/** \file
 * JSON form of the lease as stored on the platform.
 */
#pragma once

#include "placement/FencedLease.h"

#include <optional>
#include <string>
#include <string_view>

namespace limereel::placement {

/** The JSON text of \a record. */
std::string toJson(const LeaseRecord &record);

/** The record in \a json; nothing if it is not a valid record. Never throws. */
std::optional<LeaseRecord> leaseFromJson(std::string_view json);

} // namespace limereel::placement
