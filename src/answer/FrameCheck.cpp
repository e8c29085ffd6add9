#include "answer/FrameCheck.h"

namespace limereel::answer {

FrameResult FrameCheck::take(Frame frame, std::vector<Frame> &due)
{
    if (frame.request != request_) {
        return FrameResult::Foreign;
    }
    if (frame.sequence < next_) {
        return FrameResult::Repeated;
    }
    if (whole_) {
        return FrameResult::Contradiction;
    }
    if (frame.sequence > next_) {
        if (held_.size() >= maxHeld_ && !held_.contains(frame.sequence)) {
            return FrameResult::Overflow;
        }
        held_.try_emplace(frame.sequence, std::move(frame));
        return FrameResult::Held;
    }
    due.push_back(std::move(frame));
    ++next_;
    whole_ = due.back().end;
    for (auto early = held_.find(next_); early != held_.end() && !whole_;
         early = held_.find(next_)) {
        due.push_back(std::move(early->second));
        held_.erase(early);
        ++next_;
        whole_ = due.back().end;
    }
    return FrameResult::Taken;
}

} // namespace limereel::answer
