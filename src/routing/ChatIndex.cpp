#include "routing/ChatIndex.h"

namespace limereel::routing {

std::optional<Holder> ChatIndex::find(kernel::ChatKey chat)
{
    const auto found = entries_.find(chat);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    byUse_.splice(byUse_.begin(), byUse_, found->second);
    return found->second->holder;
}

void ChatIndex::put(kernel::ChatKey chat, Holder holder)
{
    if (find(chat)) {
        byUse_.front().holder = holder;
        return;
    }
    if (capacity_ == 0) {
        return;
    }
    if (entries_.size() >= capacity_) {
        entries_.erase(byUse_.back().chat);
        byUse_.pop_back();
    }
    byUse_.push_front({chat, holder});
    entries_.emplace(chat, byUse_.begin());
}

void ChatIndex::erase(kernel::ChatKey chat)
{
    if (const auto found = entries_.find(chat); found != entries_.end()) {
        byUse_.erase(found->second);
        entries_.erase(found);
    }
}

} // namespace limereel::routing
