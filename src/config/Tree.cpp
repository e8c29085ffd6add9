#include "config/Tree.h"

#include "config/Schema.h"
#include "kernel/decisions/Name.h"

namespace limereel::config {

namespace {

void removeNode(Tree &tree, const std::string &path)
{
    tree.nodes.erase(path);
    const std::string below = path + "/";
    std::erase_if(tree.nodes, [&](const auto &entry) { return entry.first.starts_with(below); });
}

void applyChange(Tree &tree, const Change &change)
{
    if (change.key.empty()) {
        if (change.value) {
            tree.nodes.try_emplace(change.path);
        } else {
            removeNode(tree, change.path);
        }
        return;
    }
    if (change.value) {
        tree.nodes[change.path][change.key] = *change.value;
        return;
    }
    if (const auto node = tree.nodes.find(change.path); node != tree.nodes.end()) {
        node->second.erase(change.key);
    }
}

const std::string *valueAt(const Tree &tree, const std::string &path, const std::string &key)
{
    const auto node = tree.nodes.find(path);
    if (node == tree.nodes.end()) {
        return nullptr;
    }
    const auto value = node->second.find(key);
    return value == node->second.end() ? nullptr : &value->second;
}

} // namespace

Tree emptyTree()
{
    Tree tree;
    tree.nodes.try_emplace("/");
    return tree;
}

Tree applyUpdate(const Tree &tree, const Update &update)
{
    Tree next = tree;
    next.revision = update.revision;
    for (const Change &change : update.changes) {
        applyChange(next, change);
    }
    next.history.push_back(update);
    if (next.history.size() > HistoryLength) {
        next.history.erase(next.history.begin());
    }
    return next;
}

std::optional<std::vector<Update>> updatesSince(const Tree &tree, std::uint64_t revision)
{
    std::vector<Update> updates;
    for (const Update &update : tree.history) {
        if (update.revision > revision) {
            updates.push_back(update);
        }
    }
    // The history must join on without a gap.
    const bool joins =
            updates.empty() ? revision == tree.revision : updates.front().revision == revision + 1;
    return joins ? std::optional(updates) : std::nullopt;
}

std::uint64_t digestOf(const Tree &tree)
{
    std::uint64_t digest = tree.revision;
    for (const auto &[path, node] : tree.nodes) {
        digest = kernel::combine(digest, kernel::hashOf(path));
        for (const auto &[key, value] : node) {
            digest = kernel::combine(digest, kernel::hashOf(key));
            digest = kernel::combine(digest, kernel::hashOf(value));
        }
    }
    return digest;
}

Effective effective(const Tree &tree, const std::string &path, const std::string &key)
{
    const KeyInfo *const info = findKey(key);
    std::optional<std::string> level = path;
    while (level) {
        if (const std::string *value = valueAt(tree, *level, key); value != nullptr) {
            return {*value, *level};
        }
        level = info != nullptr && info->inherited ? parentOf(*level) : std::nullopt;
    }
    return {info == nullptr ? "" : std::string(info->byDefault), "default"};
}

} // namespace limereel::config
