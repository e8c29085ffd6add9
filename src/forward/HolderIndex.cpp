#include "forward/HolderIndex.h"

namespace limereel::forward {

void HolderIndex::note(std::uint64_t key, membership::ShortHash engine, kernel::Instant now)
{
    if (keys_.size() >= policy_.keys && !keys_.contains(key)) {
        keys_.clear();
    }
    std::vector<Use> &uses = keys_[key];
    std::erase_if(uses, [engine](const Use &use) { return use.engine == engine; });
    uses.insert(uses.begin(), Use{engine, now});
    if (uses.size() > policy_.holders) {
        uses.pop_back();
    }
}

std::vector<membership::ShortHash> HolderIndex::holders(std::uint64_t key,
                                                        kernel::Instant now) const
{
    std::vector<membership::ShortHash> engines;
    const auto it = keys_.find(key);
    if (it == keys_.end()) {
        return engines;
    }
    for (const Use &use : it->second) {
        if (now - use.last <= policy_.remembered) {
            engines.push_back(use.engine);
        }
    }
    return engines;
}

void HolderIndex::expire(kernel::Instant now)
{
    for (auto &[key, uses] : keys_) {
        std::erase_if(uses, [&](const Use &use) { return now - use.last > policy_.remembered; });
    }
    std::erase_if(keys_, [](const auto &item) { return item.second.empty(); });
}

} // namespace limereel::forward
