/** \file
 * A gateway as a process: a box whose configuration and backend servers come from a platform's
 * store through an adapter.
 */
#pragma once

#include "gateway/Adapter.h"
#include "kernel/BoxSettings.h"
#include "services/Context.h"

#include <functional>

namespace limereel::gateway {

/** Adds the services of a gateway, in the order in which they start. \param stopped called when a
 * planned stop has finished. */
void addGatewayServices(services::Context &context, Adapter adapter, std::function<void()> stopped);

/** Runs a gateway until a planned stop.
 * \param file the settings file; it is read again at SIGHUP. \return the exit code. */
int runGateway(kernel::BoxSettings settings, const std::string &file, Adapter adapter);

} // namespace limereel::gateway
