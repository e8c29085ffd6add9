/** \file
 * A 128-bit hash of several texts. Nobody can make up other texts with the same hash.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace limereel::forward {

struct Digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const Digest &) const = default;
};

/** The hash of \a parts. Moving text from one part to the next changes it. */
Digest digestOf(std::initializer_list<std::string_view> parts);

} // namespace limereel::forward
