/** \file
 * The version of a backend server's software, as the platform's list states it. Versions have no
 * order; they are the same or they aren't.
 *
 * Only a hash and the beginning of the text are kept, as a version may be stated at any length.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace limereel::forward {

/** A version, or that none is known. */
class SoftwareVersion
{
public:
    /** Unknown. */
    SoftwareVersion() = default;

    /** The version that is stated as \a text; unknown if it is empty. */
    static SoftwareVersion of(std::string_view text);

    /** The version with this hash, whose text isn't known; 0: unknown. */
    static SoftwareVersion withHash(std::uint64_t hash);

    bool known() const { return hash_ != 0; }

    /** Whether both are known and the same. An unknown version is the same as no other. */
    bool sameAs(const SoftwareVersion &other) const { return known() && hash_ == other.hash_; }

    std::uint64_t hash() const { return hash_; }

    /** For logs: the beginning of its text or else its hash; "unknown" if it is. */
    std::string text() const;

    auto operator<=>(const SoftwareVersion &) const = default;

private:
    std::uint64_t hash_ = 0; ///< 0: unknown.
    std::string beginning_;  ///< Of its text, in printable ASCII.
};

} // namespace limereel::forward
