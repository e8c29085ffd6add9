/** \file
 * Which texts can be the value of a head field and arrive as they were written.
 */
#pragma once

#include <string_view>

namespace limereel::http {

/** Whether \a text may be sent as the value of a field: it isn't empty, holds no control byte but
 * tabs, which could end the line, and neither begins nor ends with a blank, which its reader would
 * take off. */
bool isFieldValue(std::string_view text);

} // namespace limereel::http
