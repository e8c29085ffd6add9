#include "forward/RequestIdentity.h"

#include "kernel/decisions/Name.h"

#include <array>
#include <charconv>
#include <cstring>
#include <sodium.h>

namespace limereel::forward {

namespace {

constexpr std::size_t DigestBytes = 16;
constexpr std::size_t WordDigits = 16;
constexpr int Hexadecimal = 16;

std::uint64_t wordAt(const std::array<unsigned char, DigestBytes> &digest, std::size_t index)
{
    std::uint64_t word = 0;
    std::memcpy(&word, digest.data() + index * sizeof word, sizeof word);
    return word;
}

// The length comes first, so that moving text from one part to the next changes the hash.
void hashPart(crypto_generichash_state &state, std::string_view part)
{
    const std::uint64_t length = part.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&length),
                              sizeof length);
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(part.data()),
                              part.size());
}

std::string digits(std::uint64_t word)
{
    std::string text(WordDigits, '0');
    std::array<char, WordDigits> buffer{};
    const auto [end, error] =
            std::to_chars(buffer.data(), buffer.data() + buffer.size(), word, Hexadecimal);
    const auto length = static_cast<std::size_t>(end - buffer.data());
    return text.replace(WordDigits - length, length, buffer.data(), length);
}

std::optional<std::uint64_t> wordFrom(std::string_view text)
{
    std::uint64_t word = 0;
    const auto [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), word, Hexadecimal);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(word) : std::nullopt;
}

} // namespace

std::uint64_t shapeOf(const IdentityParts &parts)
{
    std::uint64_t shape = kernel::hashOf(parts.organisation);
    shape = kernel::combine(shape, kernel::hashOf(parts.method));
    shape = kernel::combine(shape, kernel::hashOf(parts.host));
    shape = kernel::combine(shape, kernel::hashOf(parts.target));
    return kernel::combine(shape, parts.body.size());
}

RequestIdentity identityOf(const IdentityParts &parts)
{
    crypto_generichash_state state;
    std::array<unsigned char, DigestBytes> digest{};
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    for (const std::string_view part :
         {parts.organisation, parts.method, parts.host, parts.target, parts.body}) {
        hashPart(state, part);
    }
    crypto_generichash_final(&state, digest.data(), digest.size());
    return {shapeOf(parts), wordAt(digest, 0), wordAt(digest, 1)};
}

std::string text(const RequestIdentity &identity)
{
    return digits(identity.shape) + digits(identity.high) + digits(identity.low);
}

std::optional<RequestIdentity> identityFrom(std::string_view text)
{
    if (text.size() != 3 * WordDigits) {
        return std::nullopt;
    }
    const auto shape = wordFrom(text.substr(0, WordDigits));
    const auto high = wordFrom(text.substr(WordDigits, WordDigits));
    const auto low = wordFrom(text.substr(2 * WordDigits));
    if (!shape || !high || !low) {
        return std::nullopt;
    }
    return RequestIdentity{*shape, *high, *low};
}

} // namespace limereel::forward
