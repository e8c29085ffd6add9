/** \file
 * Two operators at the same moment: whether the second one's changes still mean what they meant.
 *
 * An update is made against a revision. If others were accepted since, it is taken onto the newer
 * tree only when no change of theirs touches what it touches; else the operator is told of both.
 */
#pragma once

#include "config/Tree.h"

#include <vector>

namespace limereel::config {

/** A change of ours and one of theirs that touch the same thing. */
struct Conflict
{
    Change ours;
    Change theirs;
    Update by; ///< The update that theirs is part of.

    auto operator<=>(const Conflict &) const = default;
};

/** The conflicts of \a ours with the updates \a since the tree that it was made against. */
std::vector<Conflict> conflicts(const std::vector<Change> &ours, const std::vector<Update> &since);

} // namespace limereel::config
