#include "http/AnswerBound.h"

#include <boost/beast/http/error.hpp>

namespace limereel::http {

std::optional<AnswerBound> passedBy(const boost::system::error_code &error, bool inHead)
{
    namespace bhttp = boost::beast::http;
    if (error != bhttp::error::header_limit && error != bhttp::error::buffer_overflow) {
        return std::nullopt;
    }
    return inHead ? AnswerBound::Head : AnswerBound::Framing;
}

std::string_view text(AnswerBound bound)
{
    switch (bound) {
    case AnswerBound::Head:
        return "head";
    case AnswerBound::Framing:
        return "framing";
    case AnswerBound::Event:
        return "event";
    case AnswerBound::Body:
        break;
    }
    return "body";
}

std::string tooLong(AnswerBound bound, std::size_t mostBytes)
{
    return "its " + std::string(text(bound)) + " is longer than " + std::to_string(mostBytes)
           + " bytes";
}

std::string tooLong(AnswerBound bound)
{
    return tooLong(bound, bound == AnswerBound::Head ? MaxHeadBytes : MaxFramingBytes);
}

} // namespace limereel::http
