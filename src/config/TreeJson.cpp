#include "config/TreeJson.h"

#include <nlohmann/json.hpp>

namespace limereel::config {

namespace {

using nlohmann::json;

json changeToJson(const Change &change)
{
    json object = {{"path", change.path}, {"key", change.key}};
    object["value"] = change.value ? json(*change.value) : json(nullptr);
    return object;
}

Change changeFromJson(const json &object)
{
    Change change{object.at("path").get<std::string>(), object.at("key").get<std::string>(), {}};
    if (!object.at("value").is_null()) {
        change.value = object.at("value").get<std::string>();
    }
    return change;
}

json changesToJson(const std::vector<Change> &changes)
{
    json list = json::array();
    for (const Change &change : changes) {
        list.push_back(changeToJson(change));
    }
    return list;
}

std::vector<Change> changesOf(const json &list)
{
    std::vector<Change> changes;
    for (const json &object : list) {
        changes.push_back(changeFromJson(object));
    }
    return changes;
}

json updatesToJson(const std::vector<Update> &updates)
{
    json list = json::array();
    for (const Update &update : updates) {
        list.push_back({{"revision", update.revision},
                        {"id", update.id},
                        {"author", update.author},
                        {"at", update.at},
                        {"changes", changesToJson(update.changes)}});
    }
    return list;
}

std::vector<Update> updatesOf(const json &list)
{
    std::vector<Update> updates;
    for (const json &object : list) {
        updates.push_back({object.at("revision").get<std::uint64_t>(),
                           object.at("id").get<std::string>(),
                           object.at("author").get<std::string>(),
                           object.at("at").get<std::string>(), changesOf(object.at("changes"))});
    }
    return updates;
}

// Texts come from other programs: whatever is wrong with one, the answer is that it is none.
template <typename Value, typename Read>
std::optional<Value> guarded(std::string_view text, Read read)
{
    try {
        return read(json::parse(text));
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string toJson(const Tree &tree)
{
    json nodes = json::object();
    for (const auto &[path, node] : tree.nodes) {
        nodes[path] = node;
    }
    return json{
            {"revision", tree.revision}, {"nodes", nodes}, {"history", updatesToJson(tree.history)}}
            .dump();
}

std::optional<Tree> treeFromJson(std::string_view text)
{
    return guarded<Tree>(text, [](const json &object) {
        Tree tree;
        tree.revision = object.at("revision").get<std::uint64_t>();
        tree.nodes = object.at("nodes").get<std::map<std::string, Node>>();
        tree.history = updatesOf(object.at("history"));
        return tree;
    });
}

std::string toJson(const std::vector<Update> &updates)
{
    return updatesToJson(updates).dump();
}

std::optional<std::vector<Update>> updatesFromJson(std::string_view text)
{
    return guarded<std::vector<Update>>(text, updatesOf);
}

std::string toJson(const std::vector<Change> &changes)
{
    return changesToJson(changes).dump();
}

std::optional<std::vector<Change>> changesFromJson(std::string_view text)
{
    return guarded<std::vector<Change>>(text, changesOf);
}

} // namespace limereel::config
