#include "command/Commands.h"
#include "platform/Adapter.h"

#include <iostream>
#include <sodium.h>

int main(int argc, char **argv)
{
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
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? limereel::command::Success : limereel::command::Usage;
    }
    return exitCode;
}
