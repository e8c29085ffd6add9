/** \file
 * Signals that a platform may send at any moment, held back until something listens to them.
 *
 * Until a process has its handlers, the system's default for SIGHUP and SIGTERM is to end it. One
 * that is told to read its settings again, or to stop, while it still starts must do just that.
 */
#pragma once

namespace limereel::kernel {

/** Holds SIGHUP, SIGTERM and SIGINT back. Called first in main(), before there are threads. */
void holdSignals();

/** Lets them through: those that came meanwhile arrive now. Called once handlers stand, or where
 * the system's default is wanted. */
void releaseSignals();

} // namespace limereel::kernel
