#include "kernel/KeyHash.h"

#include <array>
#include <sodium.h>

namespace limereel::kernel {

namespace {

constexpr std::size_t KeyBytes = 32;

std::string hex(const std::array<unsigned char, KeyBytes> &bytes)
{
    std::array<char, 2 * KeyBytes + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return text.data();
}

} // namespace

std::string keyHash(std::string_view key)
{
    std::array<unsigned char, KeyBytes> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    return hex(hash);
}

std::string newKey()
{
    std::array<unsigned char, KeyBytes> key{};
    randombytes_buf(key.data(), key.size());
    return hex(key);
}

std::string_view bearerKey(std::string_view field)
{
    constexpr std::string_view Scheme = "Bearer ";
    return field.starts_with(Scheme) ? field.substr(Scheme.size()) : std::string_view();
}

} // namespace limereel::kernel
