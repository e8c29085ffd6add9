/** \file
 * What tells one process of a box from the one before it, and its chance.
 */
#pragma once

#include "services/Context.h"

namespace limereel::services {

/** Gives \a context its incarnation and its chance: from the settings' seed, else from the system.
 */
void identifyProcess(Context &context);

} // namespace limereel::services
