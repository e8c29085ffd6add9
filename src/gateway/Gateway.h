/** \file
 * A gateway as a process: a box whose configuration and backend servers come from a platform's
 * store through an adapter.
 */
#pragma once

#include "gateway/Adapter.h"
#include "kernel/BoxSettings.h"

namespace limereel::gateway {

/** Runs a gateway until a planned stop. \return the exit code. */
int runGateway(kernel::BoxSettings settings, Adapter adapter);

} // namespace limereel::gateway
