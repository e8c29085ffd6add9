#include "command/Commands.h"
#include "command/OperatorClient.h"
#include "config/Schema.h"
#include "config/Tree.h"
#include "config/TreeJson.h"
#include "config/Values.h"
#include "gateway/GatewayStatus.h"

#include <algorithm>
#include <iostream>
#include <set>

namespace limereel::command {

using config::Change;
using config::Tree;
using nlohmann::json;

namespace {

/** The words of the command line. Static, since CLI11 keeps references to them. */
struct Words
{
    Target target{.box = "", .keyFile = "-"};
    std::string path;
    std::string key;
    std::string value;
    std::string name;
    bool isPart = false; ///< The name is that of a part of prompts.
    std::uint64_t base = 0;
};

Words words;

int fail(const OperatorFailure &failure)
{
    std::cerr << "limereel: " << failure.message << '\n';
    return failure.exitCode;
}

tl::expected<Tree, OperatorFailure> readTree()
{
    const auto answer = callBox(words.target, "GET", "/v1/settings");
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    auto tree = config::treeFromJson(answer->dump());
    if (!tree) {
        return tl::unexpected(
                OperatorFailure{Unreachable, "the box's answer is no tree of settings"});
    }
    return std::move(*tree);
}

// Changes are made on the tree as read now, or on the revision that the operator looked at
// (--base).
int change(const std::vector<Change> &changes)
{
    std::uint64_t base = words.base;
    if (base == 0) {
        const auto tree = readTree();
        if (!tree) {
            return fail(tree.error());
        }
        base = tree->revision;
    }
    const json body = {{"base", base}, {"changes", json::parse(config::toJson(changes))}};
    const auto answer = callBox(words.target, "POST", "/v1/settings", body);
    if (!answer) {
        return fail(answer.error());
    }
    if (words.target.asJson) {
        std::cout << answer->dump() << '\n';
    } else {
        std::cout << "accepted as revision " << (*answer)["revision"] << '\n';
    }
    return Success;
}

int get()
{
    const auto tree = readTree();
    if (!tree) {
        return fail(tree.error());
    }
    if (config::findKey(words.key) == nullptr) {
        return fail({BadInput, "unknown key '" + words.key
                                       + "'; 'limereel config keys' lists the known ones"});
    }
    const auto found = config::effective(*tree, words.path, words.key);
    if (words.target.asJson) {
        std::cout << json{{"value", found.value}, {"origin", found.origin}}.dump() << '\n';
    } else {
        std::cout << found.value << "    (from " << found.origin << ")\n";
    }
    return Success;
}

json shownNode(const Tree &tree, const std::string &path)
{
    json node = json::object();
    const auto kind = config::kindOf(path);
    for (const auto &key : config::schema()) {
        const bool stands = (kind == config::NodeKind::Organisation && key.onOrganisation)
                            || (kind == config::NodeKind::Pool && key.onPool)
                            || (kind == config::NodeKind::Service && key.onService);
        if (stands) {
            const auto found = config::effective(tree, path, std::string(key.key));
            node[std::string(key.key)] = {{"value", found.value}, {"origin", found.origin}};
        }
    }
    return node;
}

int show()
{
    const auto tree = readTree();
    if (!tree) {
        return fail(tree.error());
    }
    json shown = json::object();
    for (const auto &[path, node] : tree->nodes) {
        if (words.path.empty() || path == words.path) {
            shown[path] = shownNode(*tree, path);
        }
    }
    if (shown.empty()) {
        return fail({BadInput, "there is no node '" + words.path + "'"});
    }
    if (words.target.asJson) {
        std::cout << json{{"revision", tree->revision}, {"nodes", shown}}.dump(2) << '\n';
        return Success;
    }
    std::cout << "revision " << tree->revision << '\n';
    for (const auto &[path, node] : shown.items()) {
        std::cout << path << '\n';
        for (const auto &[key, found] : node.items()) {
            std::cout << "    " << key << " = " << found["value"].get<std::string>() << "    (from "
                      << found["origin"].get<std::string>() << ")\n";
        }
    }
    return Success;
}

int history()
{
    const auto tree = readTree();
    if (!tree) {
        return fail(tree.error());
    }
    if (words.target.asJson) {
        std::cout << config::toJson(tree->history) << '\n';
        return Success;
    }
    for (const auto &update : tree->history) {
        std::cout << "revision " << update.revision << ", " << update.at << ", " << update.author
                  << ", update " << update.id << '\n';
        for (const Change &entry : update.changes) {
            std::cout << "    " << entry.path << ' ' << entry.key
                      << (entry.value ? " = " + *entry.value : " unset") << '\n';
        }
    }
    return Success;
}

int settingsStatus()
{
    const auto answer = callBox(words.target, "GET", "/v1/settings/status");
    if (!answer) {
        return fail(answer.error());
    }
    if (words.target.asJson) {
        std::cout << answer->dump(2) << '\n';
        return Success;
    }
    const auto revision = (*answer)["revision"].get<std::uint64_t>();
    std::cout << "revision " << revision << '\n';
    for (const auto &[hall, boxes] : (*answer)["halls"].items()) {
        for (const auto &[box, has] : boxes.items()) {
            std::cout << hall << "  " << box << "  " << has
                      << (has.get<std::uint64_t>() == revision ? "" : "  behind") << '\n';
        }
    }
    return Success;
}

int status()
{
    const auto answer = callBox(words.target, "GET", "/v1/status");
    if (!answer) {
        return fail(answer.error());
    }
    // A gateway's has a configuration with an age, a router's a revision.
    if (!words.target.asJson && answer->contains("configuration")) {
        std::cout << gateway::statusText(*answer);
    } else {
        std::cout << answer->dump(2) << '\n';
    }
    return Success;
}

int lift()
{
    const char *kind = words.isPart ? "?part=" : "?identity=";
    const auto answer =
            callBox(words.target, "POST", std::string(gateway::LiftPath) + kind + words.name);
    if (!answer) {
        return fail(answer.error());
    }
    std::cout << "requests with it may run again, at all boxes within seconds\n";
    return Success;
}

int leave()
{
    const auto answer = callBox(words.target, "POST", "/v1/leave");
    if (!answer) {
        return fail(answer.error());
    }
    std::cout << "the box finishes its requests and stops\n";
    return Success;
}

int list(const std::string &prefix)
{
    const auto tree = readTree();
    if (!tree) {
        return fail(tree.error());
    }
    json names = json::array();
    for (const auto &[path, node] : tree->nodes) {
        if (path.starts_with(prefix)) {
            names.push_back(path);
            if (!words.target.asJson) {
                std::cout << path << '\n';
            }
        }
    }
    if (words.target.asJson) {
        std::cout << names.dump() << '\n';
    }
    return Success;
}

int keys()
{
    for (const auto &key : config::schema()) {
        std::cout << key.key << ": " << key.meaning << " (" << key.unit << "; default '"
                  << key.byDefault << "')\n";
    }
    return Success;
}

using Action = std::function<int()>;

CLI::App *add(CLI::App &app, const std::string &name, const std::string &help, int &exitCode,
              const Action &action)
{
    auto *const command = app.add_subcommand(name, help);
    command->add_option("--box", words.target.box, "Control address of any box, IP:PORT")
            ->required();
    command->add_option("--key-file", words.target.keyFile,
                        "File with the operator's key; else LIMEREEL_KEY is read");
    command->add_flag("--json", words.target.asJson, "Output for scripts");
    command->callback([&exitCode, action] { exitCode = action(); });
    return command;
}

void addConfig(CLI::App &app, int &exitCode)
{
    auto *const config = app.add_subcommand("config", "The tree of settings");
    config->require_subcommand(1);
    auto *command =
            add(*config, "get", "Prints a value in force and where it comes from", exitCode, get);
    command->add_option("path", words.path)->required();
    command->add_option("key", words.key)->required();
    command = add(*config, "set", "Sets a value", exitCode, [] {
        return change({{words.path, words.key, words.value}});
    });
    command->add_option("path", words.path)->required();
    command->add_option("key", words.key)->required();
    command->add_option("value", words.value)->required();
    command->add_option("--base", words.base, "Revision that the change was thought of on");
    command =
            add(*config, "unset", "Unsets a value; the level above is then in force", exitCode, [] {
                return change({{words.path, words.key, std::nullopt}});
            });
    command->add_option("path", words.path)->required();
    command->add_option("key", words.key)->required();
    command->add_option("--base", words.base, "Revision that the change was thought of on");
    add(*config, "show", "Shows each value in force with its origin", exitCode, show)
            ->add_option("path", words.path);
    add(*config, "history", "Shows the last updates: who, when, what", exitCode, history);
    add(*config, "status", "Shows which boxes have which revision", exitCode, settingsStatus);
    config->add_subcommand("keys", "Lists the known keys")->callback([&exitCode] {
        exitCode = keys();
    });
}

void addNodes(CLI::App &app, int &exitCode, const std::string &name, const std::string &prefix)
{
    auto *const group = app.add_subcommand(name, "Makes, removes and lists nodes of kind " + name);
    group->require_subcommand(1);
    const auto path = [prefix] {
        return prefix == "/" && words.name.starts_with('/') ? words.name : prefix + words.name;
    };
    add(*group, "add", "Makes one", exitCode,
        [path] {
            return change({{path(), "", ""}});
        })
            ->add_option("name", words.name)
            ->required();
    add(*group, "remove", "Removes one and all below it", exitCode,
        [path] {
            return change({{path(), "", std::nullopt}});
        })
            ->add_option("name", words.name)
            ->required();
    add(*group, "list", "Lists them", exitCode, [prefix] { return list(prefix); });
}

} // namespace

void addOperatorCommands(CLI::App &app, int &exitCode)
{
    addConfig(app, exitCode);
    addNodes(app, exitCode, "organisation", "/");
    addNodes(app, exitCode, "pool", "pool:");
    addNodes(app, exitCode, "service", "service:");
    add(app, "status", "Shows what a box knows", exitCode, status);
    auto *const command =
            add(app, "lift",
                "Lets requests run again that were stopped; --key-file holds a [peers] key",
                exitCode, lift);
    command->add_option("identity", words.name, "As 'limereel status' shows it")->required();
    command->add_flag("--part", words.isPart, "It is the id of a part of prompts instead");
    add(app, "leave", "Stops a box without cutting a request", exitCode, leave);
}

} // namespace limereel::command
