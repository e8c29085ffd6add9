#include "forward/AnswerLedger.h"

namespace limereel::forward {

bool AnswerLedger::mayHold(std::uint64_t answer, std::size_t bytes)
{
    if (bytes <= FreeBytes) {
        end(answer);
        return true;
    }
    const std::size_t wanted = bytes - FreeBytes;
    const auto place = long_.find(answer);
    const bool isLong = place != long_.end();
    const std::size_t had = isLong ? place->second.bytes : 0;
    const bool fits = charged_ - had + wanted <= capacity_;
    // An older answer that becomes long only now must not go before: each would take its share.
    const bool first = orders_.empty() || (isLong && place->second.order == *orders_.begin());
    if (wanted > had && !fits && !first) {
        return false;
    }
    charged_ = charged_ - had + wanted;
    if (isLong) {
        place->second.bytes = wanted;
        return true;
    }
    long_[answer] = {++lastOrder_, wanted};
    orders_.insert(lastOrder_);
    return true;
}

void AnswerLedger::end(std::uint64_t answer)
{
    const auto place = long_.find(answer);
    if (place != long_.end()) {
        charged_ -= place->second.bytes;
        orders_.erase(place->second.order);
        long_.erase(place);
    }
}

} // namespace limereel::forward
