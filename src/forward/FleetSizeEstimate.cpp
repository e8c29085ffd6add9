#include "forward/FleetSizeEstimate.h"

#include <algorithm>

namespace limereel::forward {

std::size_t FleetSizeEstimate::note(std::size_t seen, kernel::Instant now)
{
    const std::size_t boxes = std::max<std::size_t>(seen, 1);
    if (!called_) {
        called_ = true;
        seenAt_ = now;
    }
    const kernel::Duration validFor = guessed_ ? policy_.guessFor : policy_.rememberedFor;
    if (boxes >= boxes_ || now - seenAt_ >= validFor) {
        boxes_ = boxes;
        seenAt_ = now;
        guessed_ = false;
    }
    return boxes_;
}

} // namespace limereel::forward
