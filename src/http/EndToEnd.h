/** \file
 * The fields of a message that travel on with it: all but those that concern one connection, and
 * those that tell the body's length, which whoever sends it writes anew (RFC 9110, section 7.6.1).
 */
#pragma once

#include "http/Message.h"

namespace limereel::http {

/** The fields of \a fields that are passed on. */
Fields endToEnd(const Fields &fields);

} // namespace limereel::http
