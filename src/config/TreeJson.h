/** \file
 * The tree and its updates as JSON, as they lie on the platform and travel between boxes.
 */
#pragma once

#include "config/Tree.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::config {

/** The JSON text of \a tree. */
std::string toJson(const Tree &tree);

/** The tree in \a json; nothing if it is not one. Never throws, whatever the text. */
std::optional<Tree> treeFromJson(std::string_view json);

/** The JSON text of \a updates. */
std::string toJson(const std::vector<Update> &updates);

/** The updates in \a json; nothing if they are none. */
std::optional<std::vector<Update>> updatesFromJson(std::string_view json);

/** The JSON text of \a changes, as an operator sends them. */
std::string toJson(const std::vector<Change> &changes);

/** The changes in \a json; nothing if they are none. */
std::optional<std::vector<Change>> changesFromJson(std::string_view json);

} // namespace limereel::config
