#include "forward/RequestIdentity.h"

#include "kernel/decisions/HexWord.h"
#include "kernel/decisions/Name.h"

#include <array>
#include <cstring>
#include <sodium.h>

namespace limereel::forward {

namespace {

constexpr std::size_t DigestBytes = 16;

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
    return kernel::hexWord(identity.shape) + kernel::hexWord(identity.high)
           + kernel::hexWord(identity.low);
}

std::optional<RequestIdentity> identityFrom(std::string_view text)
{
    if (text.size() != 3 * kernel::HexWordDigits) {
        return std::nullopt;
    }
    const auto shape = kernel::wordFromHex(text.substr(0, kernel::HexWordDigits));
    const auto high =
            kernel::wordFromHex(text.substr(kernel::HexWordDigits, kernel::HexWordDigits));
    const auto low = kernel::wordFromHex(text.substr(2 * kernel::HexWordDigits));
    if (!shape || !high || !low) {
        return std::nullopt;
    }
    return RequestIdentity{*shape, *high, *low};
}

} // namespace limereel::forward
