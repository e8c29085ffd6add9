/** \file
 * The fields of a message that travel on with it: all but those that concern one connection, and
 * those that tell the body's length, which whoever sends it writes anew (RFC 9110, section 7.6.1).
 */
#pragma once

#include "http/Message.h"

#include <span>
#include <string_view>

namespace limereel::http {

/** The fields of \a fields that are passed on.
 * \param known names of fields that never concern one connection: they are passed on also if a
 * Connection field lists them, as nobody on the way may take them away. */
Fields endToEnd(const Fields &fields, std::span<const std::string_view> known = {});

} // namespace limereel::http
