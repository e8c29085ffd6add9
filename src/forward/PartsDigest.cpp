#include "forward/PartsDigest.h"

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

Digest digestOf(std::initializer_list<std::string_view> parts)
{
    crypto_generichash_state state;
    std::array<unsigned char, DigestBytes> digest{};
    crypto_generichash_init(&state, nullptr, 0, digest.size());
    for (const std::string_view part : parts) {
        hashPart(state, part);
    }
    crypto_generichash_final(&state, digest.data(), digest.size());
    return {wordAt(digest, 0), wordAt(digest, 1)};
}

} // namespace limereel::forward
