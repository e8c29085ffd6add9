/** \file
 * By what a request is known again when it comes once more, at any box and under another id: its
 * organisation, method, host, target and body. How the body was framed and the order of the fields
 * don't matter.
 *
 * The organisation is part of it, so nobody can make a request of another organisation look like
 * one of theirs. It is the same on every box and in every version.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limereel::forward {

/** What the identity is worked out from. */
struct IdentityParts
{
    std::string_view organisation; ///< Empty where callers are anonymous.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/** A request that may come again. */
struct RequestIdentity
{
    std::uint64_t shape = 0; ///< Of all but the body's content: quick to work out.
    std::uint64_t high = 0;  ///< With low: 128 bits of BLAKE2b over everything.
    std::uint64_t low = 0;

    auto operator<=>(const RequestIdentity &) const = default;
};

/** The identity's shape alone, which spares most requests the hash of their body. */
std::uint64_t shapeOf(const IdentityParts &parts);

/** The whole identity. Takes some 0.1 ms for a body of 70 kB. */
RequestIdentity identityOf(const IdentityParts &parts);

/** 48 hexadecimal digits. */
std::string text(const RequestIdentity &identity);

/** What text() gave, read back; nothing if \a text is none. */
std::optional<RequestIdentity> identityFrom(std::string_view text);

} // namespace limereel::forward

/** For hash tables. */
template <>
struct std::hash<limereel::forward::RequestIdentity>
{
    std::size_t operator()(const limereel::forward::RequestIdentity &identity) const
    {
        return identity.high ^ identity.low;
    }
};
