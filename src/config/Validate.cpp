#include "config/Validate.h"

#include "config/Schema.h"
#include "config/TreeJson.h"
#include "config/Values.h"

#include <algorithm>

namespace limereel::config {

namespace {

using Problems = std::vector<Problem>;

bool mayStand(const KeyInfo &key, NodeKind kind, const std::string &path)
{
    switch (kind) {
    case NodeKind::Organisation:
        return key.onOrganisation && (path != "/" || key.inherited);
    case NodeKind::Pool:
        return key.onPool;
    case NodeKind::Service:
        break;
    }
    return key.onService;
}

void checkKey(const std::string &path, NodeKind kind, const std::string &key,
              const std::string &value, Problems &problems)
{
    const KeyInfo *const info = findKey(key);
    if (info == nullptr) {
        problems.push_back({path, key, "unknown key; 'limereel config keys' lists the known ones"});
        return;
    }
    if (!mayStand(*info, kind, path)) {
        problems.push_back({path, key, "this key can't stand on such a node"});
        return;
    }
    if (const auto wrong = checkValue(*info, value)) {
        problems.push_back({path, key, *wrong});
    }
}

void checkNode(const Tree &tree, const std::string &path, const Node &node, Problems &problems)
{
    const auto kind = kindOf(path);
    if (!kind) {
        problems.push_back(
                {path, "", "not a path; allowed are /NAME/..., pool:NAME and service:NAME"});
        return;
    }
    if (const auto above = parentOf(path); above && !tree.nodes.contains(*above)) {
        problems.push_back({path, "", "the level above, " + *above + ", does not exist"});
    }
    for (const auto &[key, value] : node) {
        checkKey(path, *kind, key, value, problems);
    }
}

// Names that a list mentions must exist, so that a slip of the pen doesn't silently forbid a pool.
void checkMentions(const Tree &tree, const std::string &path, const Node &node,
                   const std::string &key, const std::string &prefix, Problems &problems)
{
    const auto list = node.find(key);
    if (list == node.end()) {
        return;
    }
    for (const std::string &name : splitNames(list->second)) {
        if (name != "*" && !tree.nodes.contains(prefix + name)) {
            problems.push_back({path, key, "there is no " + prefix + name});
        }
    }
}

// Each entry of the list must be on one node only: a model in one pool, a key with one
// organisation.
void checkUnique(const Tree &tree, const std::string &key, const std::string &what,
                 Problems &problems)
{
    std::map<std::string, std::string> seen;
    for (const auto &[path, node] : tree.nodes) {
        const auto list = node.find(key);
        if (list == node.end()) {
            continue;
        }
        for (const std::string &entry : splitNames(list->second)) {
            const auto [place, added] = seen.try_emplace(entry, path);
            if (!added) {
                problems.push_back({path, key, what + " is already on " + place->second});
            }
        }
    }
}

// A lower level may not take more than the level above has.
void checkWithinParent(const Tree &tree, const std::string &path, const Node &node,
                       Problems &problems)
{
    const std::string key = "max-in-flight";
    const auto above = parentOf(path);
    if (!above || !node.contains(key)) {
        return;
    }
    const auto own = toInteger(node.at(key));
    const Effective limit = effective(tree, *above, key);
    const auto most = toInteger(limit.value);
    if (own && most && limit.origin != "default" && *own > *most) {
        problems.push_back({path, key,
                            "found " + node.at(key) + ", allowed is at most " + limit.value
                                    + " as set on " + limit.origin});
    }
}

} // namespace

std::string text(const Problem &problem)
{
    return problem.path + (problem.key.empty() ? "" : " " + problem.key) + ": " + problem.message;
}

std::vector<Problem> validate(const Tree &tree)
{
    Problems problems;
    if (!tree.nodes.contains("/")) {
        problems.push_back({"/", "", "the root can't be removed"});
    }
    for (const auto &[path, node] : tree.nodes) {
        checkNode(tree, path, node, problems);
        checkMentions(tree, path, node, "allow-pools", "pool:", problems);
        checkMentions(tree, path, node, "allow-services", "service:", problems);
        checkWithinParent(tree, path, node, problems);
    }
    checkUnique(tree, "models", "a model of this list", problems);
    checkUnique(tree, "api-key-hashes", "a key of this list", problems);
    if (toJson(tree).size() > MostTreeBytes) {
        problems.push_back({"/", "",
                            "the tree is over " + std::to_string(MostTreeBytes)
                                    + " bytes, more than the platform holds in one object"});
    }
    return problems;
}

} // namespace limereel::config
