#include "command/Commands.h"
#include "config/Schema.h"
#include "config/Values.h"
#include "gateway/Gateway.h"
#include "kernel/BoxSettings.h"
#include "kernel/Log.h"
#include "services/Router.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>

namespace limereel::command {

namespace {

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream input(path, std::ios::binary);
    std::ostringstream text;
    text << input.rdbuf();
    return input ? std::optional(text.str()) : std::nullopt;
}

std::optional<kernel::BoxSettings> load(const std::string &path, bool asJson)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << path << ": the file can't be read\n";
        return std::nullopt;
    }
    auto settings = kernel::settingsFrom(*text);
    if (settings) {
        return std::move(*settings);
    }
    nlohmann::json problems = nlohmann::json::array();
    for (const auto &problem : settings.error()) {
        problems.push_back(
                {{"section", problem.section}, {"key", problem.key}, {"message", problem.message}});
        if (!asJson) {
            std::cerr << kernel::text(problem, path) << '\n';
        }
    }
    if (asJson) {
        std::cout << nlohmann::json{{"file", path}, {"problems", problems}}.dump(2) << '\n';
    }
    return std::nullopt;
}

void printTableRow(std::initializer_list<std::string_view> cells)
{
    for (const auto cell : cells) {
        std::cout << "| " << (cell.empty() ? "–" : cell) << ' ';
    }
    std::cout << "|\n";
}

void printReference()
{
    std::cout
            << "# Settings\n\nMade by `limereel settings-reference`; a test compares.\n\n"
               "## The box's file (INI)\n\nA key without a value counts as left out, unless it is "
               "required.\n\n| section | key | allowed | default | meaning "
               "|\n|---|---|---|---|---|\n";
    for (const auto &row : kernel::settingTable()) {
        printTableRow({row.section, row.key, row.allowed, row.byDefault, row.meaning});
    }
    std::cout << "\n## The tree of settings\n\nO: on organisations and `/`; P: on pools; S: on "
                 "services.\n\n"
                 "| key | on | kind | allowed | unit | default | inherited | meaning "
                 "|\n|---|---|---|---|---|---|---|---|\n";
    for (const auto &key : config::schema()) {
        const std::string on = std::string(key.onOrganisation ? "O" : "") + (key.onPool ? "P" : "")
                               + (key.onService ? "S" : "");
        const std::string allowed = key.most > 0 ? config::trimmedNumber(key.least) + " to "
                                                           + config::trimmedNumber(key.most)
                                                 : "";
        printTableRow({key.key, on, config::text(key.kind), allowed, key.unit, key.byDefault,
                       key.inherited ? "yes" : "no", key.meaning});
    }
}

} // namespace

void addBoxCommands(CLI::App &app, int &exitCode, const std::function<gateway::Adapter()> &adapter)
{
    static std::string file;
    static bool asJson = false;
    auto *const router =
            app.add_subcommand("router", "Runs a router until a planned stop (SIGTERM or 'leave')");
    router->add_option("--settings", file, "The box's INI file")->required();
    router->callback([&exitCode] {
        const auto settings = load(file, false);
        if (!settings) {
            exitCode = BadInput;
            return;
        }
        kernel::startLog(settings->logLevel, settings->box.text());
        exitCode = services::runRouter(*settings);
        kernel::stopLog();
    });
    auto *const front = app.add_subcommand(
            "gateway", "Runs a gateway, fed by a platform's store, until a planned stop (SIGTERM)");
    front->add_option("--settings", file, "The box's INI file")->required();
    front->callback([&exitCode, adapter] {
        const auto settings = load(file, false);
        if (!settings) {
            exitCode = BadInput;
            return;
        }
        kernel::startLog(settings->logLevel, settings->box.text());
        exitCode = gateway::runGateway(*settings, file, adapter());
        kernel::stopLog();
    });
    auto *const check = app.add_subcommand(
            "check-settings", "Checks a box's INI file and says all that is wrong with it");
    check->add_option("file", file, "The box's INI file")->required();
    check->add_flag("--json", asJson, "Problems as JSON");
    check->callback([&exitCode] {
        const auto settings = load(file, asJson);
        exitCode = settings ? Success : BadInput;
        if (settings && asJson) {
            std::cout << nlohmann::json{{"file", file}, {"problems", nlohmann::json::array()}}.dump(
                    2) << '\n';
        } else if (settings) {
            std::cout << file << ": good, box " << settings->box.text() << " of hall "
                      << settings->hall.text() << '\n';
        }
    });
    app.add_subcommand("settings-reference",
                       "Prints the reference of all settings (docs/SETTINGS.md)")
            ->callback(printReference);
}

} // namespace limereel::command
