#include "http/LateLooks.h"

namespace limereel::http {

bool LateLooks::goOn(kernel::Instant now, const Heard &heard)
{
    // The end is to be read too: an answer may end with its connection.
    const bool waiting = heard.waiting == Arrived::Bytes || heard.waiting == Arrived::End;
    const bool moved = first_.has_value() && heard.read > read_;
    read_ = heard.read;
    if (!first_) {
        first_ = now;
    }
    return (waiting || moved) && now - *first_ < longest_;
}

} // namespace limereel::http
