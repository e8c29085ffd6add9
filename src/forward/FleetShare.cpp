#include "forward/FleetShare.h"

#include <algorithm>

namespace limereel::forward {

std::string_view text(FleetKnowledge knowledge)
{
    switch (knowledge) {
    case FleetKnowledge::Unknown:
        return "unknown";
    case FleetKnowledge::CutOff:
        return "cut-off";
    case FleetKnowledge::Remembered:
        return "remembered";
    case FleetKnowledge::Seen:
        return "seen";
    }
    return "unknown";
}

void FleetShare::note(const FleetSight &sight, kernel::Instant now)
{
    count(sight, now);
    const bool alone = sight.whole && sight.boxes == 1;
    const bool settled = sight.whole && now - grownAt_ >= policy_.settle;
    known_ = known_ || alone || settled;
    knowledge_ = knowledgeFrom(sight);
    if (knowledge_ == FleetKnowledge::Unknown || knowledge_ == FleetKnowledge::CutOff) {
        partSince_.reset();
    } else if (!partSince_) {
        partSince_ = now;
    }
    newPart_ = !partSince_ || now - *partSince_ < policy_.window;
    startedAt_ = startedAt_.value_or(now);
    firstWindow_ = now - *startedAt_ < policy_.window;
}

double FleetShare::part() const
{
    if (!known_ && policy_.guess > 0) {
        return policy_.firstPart / static_cast<double>(std::max(boxes_, policy_.guess));
    }
    if (!partSince_) {
        return 0;
    }
    const double part = 1 / static_cast<double>(std::max<std::size_t>(boxes_, 1));
    return newPart_ ? part * policy_.firstPart : part;
}

void FleetShare::count(const FleetSight &sight, kernel::Instant now)
{
    if (sight.boxes > boxes_) {
        boxes_ = sight.boxes;
        grownAt_ = now;
    }
    // Beyond a cut through the halls the others may be the larger part.
    const bool mayBeCutOff = !sight.whole || sight.boxes * 2 <= boxes_;
    if (sight.boxes >= boxes_ || mayBeCutOff) {
        fewerSince_.reset();
        return;
    }
    shrink(sight, now);
}

void FleetShare::shrink(const FleetSight &sight, kernel::Instant now)
{
    if (!fewerSince_) {
        fewerSince_ = now;
        fewer_ = 0;
    }
    fewer_ = std::max(fewer_, sight.boxes);
    if (now - *fewerSince_ >= policy_.rememberedFor) {
        boxes_ = fewer_;
        fewerSince_.reset();
    }
}

FleetKnowledge FleetShare::knowledgeFrom(const FleetSight &sight) const
{
    if (!known_) {
        return FleetKnowledge::Unknown;
    }
    if (sight.boxes * 2 < boxes_) {
        return FleetKnowledge::CutOff;
    }
    return sight.boxes < boxes_ ? FleetKnowledge::Remembered : FleetKnowledge::Seen;
}

} // namespace limereel::forward
