/** \file
 * One router process: assembles all services and runs them until the planned stop.
 */
#pragma once

#include "services/Context.h"

#include <functional>

namespace limereel::services {

/** Adds all services of a router to the kernel of \a context, in the order in which they start.
 * \param stopped called when a planned stop is complete. */
void addRouterServices(Context &context, std::function<void()> stopped);

/** Runs a router with \a settings until a planned stop or a signal. \return the process's exit
 * code. */
int runRouter(kernel::BoxSettings settings);

} // namespace limereel::services
