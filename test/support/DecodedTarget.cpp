#include "support/DecodedTarget.h"

#include <boost/url/src.hpp>

namespace limereel::support {

std::optional<DecodedTarget> decodeTarget(std::string_view target, Escapes escapes)
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed) {
        return std::nullopt;
    }
    DecodedTarget decoded;
    for (const std::string &segment : parsed->segments()) {
        decoded.segments.push_back(segment);
    }
    if (escapes == Escapes::Decoded) {
        for (const auto &param : parsed->params()) {
            decoded.query.emplace(param.key, param.value);
        }
    } else {
        for (const auto &param : parsed->encoded_params()) {
            decoded.query.emplace(std::string(param.key), std::string(param.value));
        }
    }
    return decoded;
}

} // namespace limereel::support
