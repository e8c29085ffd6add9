/** \file
 * The target of a request as a strict server reads it: what isn't a target by RFC 3986 is refused,
 * escapes are decoded, and a plus sign in the query is a blank.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::support {

/** A decoded target. */
struct DecodedTarget
{
    std::vector<std::string> segments;
    std::map<std::string, std::string> query;

    auto operator<=>(const DecodedTarget &) const = default;
};

/** What becomes of escapes in a query. */
enum class Escapes : std::uint8_t { Decoded, Kept };

/** Decodes \a target; nullopt if it is none. */
std::optional<DecodedTarget> decodeTarget(std::string_view target,
                                          Escapes escapes = Escapes::Decoded);

} // namespace limereel::support
