#include "config/Installed.h"

#include "config/Validate.h"

namespace limereel::config {

const char *text(OfferResult result)
{
    switch (result) {
    case OfferResult::Installed:
        return "installed";
    case OfferResult::Same:
        return "same";
    case OfferResult::Older:
        return "older";
    case OfferResult::Divergent:
        return "divergent";
    case OfferResult::Gap:
        return "gap";
    case OfferResult::Invalid:
        break;
    }
    return "invalid";
}

OfferResult Installed::offer(Tree tree)
{
    if (tree_ != nullptr && tree.revision <= tree_->revision) {
        if (tree.revision < tree_->revision) {
            return OfferResult::Older;
        }
        return digestOf(tree) == digestOf(*tree_) ? OfferResult::Same : OfferResult::Divergent;
    }
    if (!validate(tree).empty()) {
        return OfferResult::Invalid;
    }
    tree_ = std::make_shared<const Tree>(std::move(tree));
    return OfferResult::Installed;
}

OfferResult Installed::offerUpdates(const std::vector<Update> &updates, std::uint64_t digest)
{
    if (tree_ == nullptr) {
        return OfferResult::Gap;
    }
    Tree next = *tree_;
    for (const Update &update : updates) {
        if (update.revision <= next.revision) {
            continue;
        }
        if (update.revision != next.revision + 1) {
            return OfferResult::Gap;
        }
        next = applyUpdate(next, update);
    }
    if (digestOf(next) != digest) {
        // Behind by messages that were passed over, or on another line: only the whole tree can
        // tell.
        return OfferResult::Gap;
    }
    return offer(std::move(next));
}

} // namespace limereel::config
