/** \file
 * The subcommands of the one binary, each a function that adds itself to the command line.
 */
#pragma once

#include "gateway/Adapter.h"

#include <CLI/CLI.hpp>
#include <functional>

namespace limereel::command {

/** Exit codes of all subcommands. */
enum ExitCode : int {
    Success = 0,
    Usage = 1,      ///< The command line is wrong.
    BadInput = 2,   ///< A settings file or a change breaks the rules.
    CantStart = 3,  ///< An address is taken, or the like.
    Conflict = 4,   ///< Another operator changed the same settings.
    Unreachable = 5 ///< The box or the platform doesn't answer.
};

/** Adds 'router', 'gateway', 'check-settings', 'settings-reference'. \param adapter of the platform
 * that a gateway runs on. */
void addBoxCommands(CLI::App &app, int &exitCode, const std::function<gateway::Adapter()> &adapter);

/** Adds 'config', 'organisation', 'pool', 'status', 'leave'. */
void addOperatorCommands(CLI::App &app, int &exitCode);

/** Adds 'codes', 'new-key', 'hash-key', 'explain'. */
void addToolCommands(CLI::App &app, int &exitCode);

} // namespace limereel::command
