/** \file
 * Recognises a request that is sent again, through any box and under another request id, by its
 * organisation, method, host, target and body. The framing of the body and the order of the fields
 * don't matter.
 *
 * The organisation is part of the identity, so nobody can make a request look like one of another
 * organisation. The identity is the same on every box and in every version.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limereel::forward {

/** The input from which the identity is computed. */
struct IdentityParts
{
    std::string_view organisation; ///< Empty for anonymous callers.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/** Identifies a request across repeats. */
struct RequestIdentity
{
    std::uint64_t shape = 0; ///< Hash of all but the body's content; cheap to compute.
    std::uint64_t high = 0;  ///< With \c low: 128 bits of BLAKE2b over everything.
    std::uint64_t low = 0;

    auto operator<=>(const RequestIdentity &) const = default;
};

/** The shape alone, which saves hashing the body of most requests. */
std::uint64_t shapeOf(const IdentityParts &parts);

/** The complete identity. Takes about 0.1 ms for a body of 70 kB. */
RequestIdentity identityOf(const IdentityParts &parts);

/** The identity as 48 hexadecimal digits. */
std::string text(const RequestIdentity &identity);

/** Parses what text() returned; nothing if \a text is not an identity. */
std::optional<RequestIdentity> identityFrom(std::string_view text);

} // namespace limereel::forward

/** The hash for unordered containers. */
template <>
struct std::hash<limereel::forward::RequestIdentity>
{
    std::size_t operator()(const limereel::forward::RequestIdentity &identity) const
    {
        return identity.high ^ identity.low;
    }
};
