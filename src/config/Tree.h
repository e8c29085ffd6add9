/** \file
 * The tree of settings as one immutable value: every organisation, pool and service, with a
 * revision.
 *
 * The whole tree is one object on the platform, so a conditional update checks the whole effective
 * tree and not just one node, and two operators can't break together what each left whole. Each
 * accepted change makes a new tree with the next revision, and the last changes travel with it:
 * they are the history for people, and the difference that a hall's watcher passes on to the boxes
 * instead of the whole.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limereel::config {

/** One value set, or unset when there is none. */
struct Change
{
    std::string path;
    std::string key; ///< Empty: the node itself; set makes it, unset removes it with all below it.
    std::optional<std::string> value;

    auto operator<=>(const Change &) const = default;
};

/** One accepted update. */
struct Update
{
    std::uint64_t revision = 0; ///< Of the tree that it made.
    std::string id;             ///< Unique; recognises an update whose answer was lost.
    std::string author;         ///< Who, as the operator's key says.
    std::string at;             ///< UTC, ISO 8601; for people only.
    std::vector<Change> changes;

    auto operator<=>(const Update &) const = default;
};

/** The keys set on one node. */
using Node = std::map<std::string, std::string>;

/** The tree. Only applyUpdate() makes a changed one. */
struct Tree
{
    std::uint64_t revision = 0;
    std::map<std::string, Node> nodes;
    std::vector<Update> history; ///< Oldest first, at most HistoryLength.

    bool operator==(const Tree &) const = default;
};

/** Updates that travel with the tree. */
inline constexpr std::size_t HistoryLength = 64;

/** A tree of nothing but the root. */
Tree emptyTree();

/** \a tree with the changes of \a update carried out, unchecked (see Validate.h). Its revision is
 * the update's. */
Tree applyUpdate(const Tree &tree, const Update &update);

/** The updates after \a revision, oldest first; nothing if the history doesn't reach back so far.
 */
std::optional<std::vector<Update>> updatesSince(const Tree &tree, std::uint64_t revision);

/** A hash of nodes and revision; equal trees have equal digests on every box. */
std::uint64_t digestOf(const Tree &tree);

/** A value in force, and where it was set. */
struct Effective
{
    std::string value;
    std::string origin; ///< A path, or "default".

    auto operator<=>(const Effective &) const = default;
};

/** The value of \a key in force at \a path: the nearest level that sets it, else the default. */
Effective effective(const Tree &tree, const std::string &path, const std::string &key);

} // namespace limereel::config
