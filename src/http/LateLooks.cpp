#include "http/LateLooks.h"

#include <algorithm>

namespace limereel::http {

bool LateLooks::goOn(kernel::Instant now, const Heard &heard)
{
    // The end is to be read too: an answer may end with its connection.
    const bool waiting = heard.waiting == Arrived::Bytes || heard.waiting == Arrived::End;
    const bool moved = last_.has_value() && heard.read > read_;
    read_ = heard.read;
    // Time in which the process stood still was none to read what came.
    if (last_) {
        used_ += std::min(now - *last_, mostBetween_);
    }
    last_ = now;
    return (waiting || moved) && used_ < longest_;
}

} // namespace limereel::http
