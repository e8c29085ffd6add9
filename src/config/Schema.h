/** \file
 * Every key of the settings tree: where it may stand, what it may be, its unit, default and
 * meaning.
 *
 * The table is the only place that knows the keys. Validation, the reference in
 * docs/SETTINGS.md (compared by a test) and the error messages all come from it.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace limereel::config {

/** What a node of the tree stands for; its path begins accordingly. */
enum class NodeKind : std::uint8_t {
    Organisation, ///< "/", "/accra", "/accra/hauler-a": inherits from the level above.
    Pool,         ///< "pool:NAME": inherits from "/".
    Service       ///< "service:NAME": inherits from "/".
};

/** How a value is written. */
enum class ValueKind : std::uint8_t { Integer, Decimal, Flag, Names, Hashes };

/** One key. */
struct KeyInfo
{
    std::string_view key;
    ValueKind kind;
    bool onOrganisation; ///< May stand on an organisation's node, and so on "/".
    bool onPool;
    bool onService;
    bool inherited; ///< Whether a lower level takes it over.
    double least;   ///< Of numbers.
    double most;    ///< Of numbers.
    std::string_view unit;
    std::string_view byDefault;
    std::string_view meaning;
};

/** All keys, sorted by name. */
std::span<const KeyInfo> schema();

/** The row of \a key, or nullptr. */
const KeyInfo *findKey(std::string_view key);

/** The kind of the node at \a path; nothing if no node can have that path. */
std::optional<NodeKind> kindOf(std::string_view path);

/** The path above \a path; nothing above "/". Pools and services stand directly under "/". */
std::optional<std::string> parentOf(std::string_view path);

/** Why \a value can't be a value of \a key: what was found and what is allowed. Nothing if it can.
 */
std::optional<std::string> checkValue(const KeyInfo &key, std::string_view value);

/** "integer", "decimal", ... */
std::string_view text(ValueKind kind);

} // namespace limereel::config
