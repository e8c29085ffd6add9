/** \file
 * Names of things that must not be mixed up: a box is not a hall, an organisation not a model.
 *
 * A Name is a small value type: the text for people and logs, and its 64-bit hash for hashing and
 * for the wire, worked out once. Two Names of different kinds don't compare.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace limereel::kernel {

/** XXH3 of \a text; the same on every box and in every version. */
std::uint64_t hashOf(std::string_view text);

/** Mixes two hashes into one; order matters. */
std::uint64_t combine(std::uint64_t first, std::uint64_t second);

/** A typed, hashed, immutable name. \tparam Kind an empty tag type. */
template <typename Kind>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : text_(std::move(text))
        , hash_(hashOf(text_))
    {
    }

    const std::string &text() const { return text_; }
    std::uint64_t hash() const { return hash_; }
    bool empty() const { return text_.empty(); }

    bool operator==(const Name &other) const { return text_ == other.text_; }
    auto operator<=>(const Name &other) const { return text_ <=> other.text_; }

private:
    std::string text_;
    std::uint64_t hash_ = 0;
};

using BoxId = Name<struct BoxKind>;
using HallId = Name<struct HallKind>;
using BackendId = Name<struct BackendKind>;
using OrganisationId = Name<struct OrganisationKind>;
using ModelId = Name<struct ModelKind>;

/** The hash under which a chat is known; organisation and model are mixed in by chatKey(). */
using ChatKey = std::uint64_t;

/** The key of a chat. Two organisations never share one, whatever ids their callers choose. */
ChatKey chatKey(const OrganisationId &organisation, const ModelId &model, std::string_view chat);

} // namespace limereel::kernel

template <typename Kind>
struct std::hash<limereel::kernel::Name<Kind>>
{
    std::size_t operator()(const limereel::kernel::Name<Kind> &name) const { return name.hash(); }
};
