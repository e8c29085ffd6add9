/** \file
 * The tree in force on one box. It only ever moves forward.
 *
 * A tree comes from the platform, from the hall's watcher or from any peer, and may be older than
 * what is in force: a stale read, a late message, a platform that was restored to old data.
 * Whatever comes, the greatest revision stays. Two different trees of one revision can't both be
 * right; the box keeps its own and says so.
 */
#pragma once

#include "config/Tree.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace limereel::config {

/** What became of an offered tree. */
enum class OfferResult : std::uint8_t {
    Installed,
    Same,
    Older,     ///< The one offered is behind: its source needs ours.
    Divergent, ///< Same revision, other content.
    Gap,       ///< Updates that don't join on; the whole tree is needed.
    Invalid    ///< It doesn't pass validation.
};

/** The name of \a result for logs and counters. */
const char *text(OfferResult result);

/** The box's tree. */
class Installed
{
public:
    /** Nothing is in force yet. */
    bool empty() const { return tree_ == nullptr; }

    /** The tree in force; must not be called while empty(). */
    const Tree &tree() const { return *tree_; }

    /** The tree as a shared value for readers that outlive the next offer. */
    std::shared_ptr<const Tree> share() const { return tree_; }

    std::uint64_t revision() const { return tree_ == nullptr ? 0 : tree_->revision; }

    /** Offers a whole tree. */
    OfferResult offer(Tree tree);

    /** Offers the updates that lead from the installed tree to one with \a digest. */
    OfferResult offerUpdates(const std::vector<Update> &updates, std::uint64_t digest);

private:
    std::shared_ptr<const Tree> tree_;
};

} // namespace limereel::config
