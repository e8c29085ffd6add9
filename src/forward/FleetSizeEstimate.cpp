#include "forward/FleetSizeEstimate.h"

#include <algorithm>

namespace limereel::forward {

std::size_t FleetSizeEstimate::note(std::size_t seen, kernel::Instant now)
{
    const std::size_t boxes = std::max<std::size_t>(seen, 1);
    if (!heard_) {
        heard_ = true;
        at_ = now;
    }
    const kernel::Duration held = guessed_ ? policy_.guessFor : policy_.rememberedFor;
    if (boxes >= boxes_ || now - at_ >= held) {
        boxes_ = boxes;
        at_ = now;
        guessed_ = false;
    }
    return boxes_;
}

} // namespace limereel::forward
