/** \file
 * How Beast's parser found the end of an answer's body.
 */
#pragma once

#include "http/BodyEnd.h"

#include <boost/beast/http/parser.hpp>

namespace limereel::http {

/** The end of the body that \a parser has read; it must be done. */
template <typename Parser>
BodyEnd endOf(const Parser &parser)
{
    if (parser.need_eof()) {
        return BodyEnd::ConnectionClosed;
    }
    if (parser.chunked()) {
        return BodyEnd::LastChunk;
    }
    return parser.content_length() ? BodyEnd::LengthReached : BodyEnd::NoBody;
}

} // namespace limereel::http
