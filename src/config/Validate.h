/** \file
 * Whether a whole tree may come into force. Checked before each update is written, on the tree that
 * the update would make.
 */
#pragma once

#include "config/Tree.h"

#include <string>
#include <vector>

namespace limereel::config {

/** One thing wrong with a tree: where, what was found, what is allowed. */
struct Problem
{
    std::string path;
    std::string key; ///< Empty if it concerns the node.
    std::string message;

    auto operator<=>(const Problem &) const = default;
};

/** "path key: message", for people. */
std::string text(const Problem &problem);

/** All problems of \a tree; none if it may come into force. */
std::vector<Problem> validate(const Tree &tree);

/** The most that a tree may take as JSON, bytes: the platform holds values up to a megabyte. */
inline constexpr std::size_t MostTreeBytes = 1000000;

} // namespace limereel::config
