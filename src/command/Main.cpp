#include "command/Commands.h"
#include "kernel/HeldSignals.h"
#include "platform/Adapter.h"

#include <iostream>
#include <sodium.h>

namespace {

// Boxes let signals through once they listen; every other command ends by them as usual.
void releaseSignalsOfTools(CLI::App &app)
{
    const auto isTool = [](const CLI::App *command) {
        return command->get_name() != "router" && command->get_name() != "gateway";
    };
    for (CLI::App *command : app.get_subcommands([](CLI::App *) { return true; })) {
        if (isTool(command)) {
            command->preparse_callback([](std::size_t) { limereel::kernel::releaseSignals(); });
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    limereel::kernel::holdSignals();
    if (sodium_init() < 0) {
        std::cerr << "limereel: the cryptographic library can't be started\n";
        return limereel::command::CantStart;
    }
    CLI::App app("limereel, a router fleet for chats that return");
    app.set_version_flag("--version", std::string("limereel ") + LIMEREEL_VERSION);
    app.require_subcommand(1);
    int exitCode = limereel::command::Success;
    limereel::command::addBoxCommands(app, exitCode, limereel::platform::adapter);
    limereel::command::addOperatorCommands(app, exitCode);
    limereel::command::addToolCommands(app, exitCode);
    releaseSignalsOfTools(app);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? limereel::command::Success : limereel::command::Usage;
    }
    return exitCode;
}
