/** \file
 * Sets the incarnation number, which distinguishes a process of a box from earlier ones, and seeds
 * the random number generator.
 */
#pragma once

#include "services/Context.h"

namespace limereel::services {

/** Sets the incarnation of \a context and seeds its random number generator, from the settings'
 * seed if there is one, else from the system. */
void identifyProcess(Context &context);

} // namespace limereel::services
