#include "http/BodyEnd.h"

namespace limereel::http {

std::string_view text(BodyEnd end)
{
    switch (end) {
    case BodyEnd::NoBody:
        return "no-body";
    case BodyEnd::LengthReached:
        return "length";
    case BodyEnd::LastChunk:
        return "last-chunk";
    case BodyEnd::ConnectionClosed:
        break;
    }
    return "connection-closed";
}

} // namespace limereel::http
