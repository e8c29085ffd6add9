#include "peer/Envelope.h"

#include <algorithm>
#include <sodium.h>

namespace limereel::peer {

namespace {

constexpr std::uint8_t Version = 1;
constexpr std::size_t CodeBytes = EnvelopeBytes - 1;

using Code = std::array<std::uint8_t, CodeBytes>;

Code codeOf(std::span<const std::uint8_t> signedPart, const PeerKey &key)
{
    Code code{};
    crypto_generichash(code.data(), code.size(), signedPart.data(), signedPart.size(), key.data(),
                       key.size());
    return code;
}

} // namespace

std::optional<PeerKey> peerKeyFromHex(std::string_view text)
{
    PeerKey key{};
    std::size_t length = 0;
    const int failed = sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr,
                                      &length, nullptr);
    if (failed != 0 || length != key.size() || text.size() != 2 * key.size()) {
        return std::nullopt;
    }
    return key;
}

std::vector<PeerKey> peerKeysFrom(const std::vector<std::string> &texts)
{
    std::vector<PeerKey> keys;
    for (const std::string &hex : texts) {
        keys.push_back(peerKeyFromHex(hex).value());
    }
    return keys;
}

Bytes seal(std::span<const std::uint8_t> payload, const PeerKey &key)
{
    Bytes datagram;
    datagram.reserve(payload.size() + EnvelopeBytes);
    datagram.push_back(Version);
    datagram.insert(datagram.end(), payload.begin(), payload.end());
    const Code code = codeOf(datagram, key);
    datagram.insert(datagram.end(), code.begin(), code.end());
    return datagram;
}

std::optional<Bytes> open(std::span<const std::uint8_t> datagram, std::span<const PeerKey> keys)
{
    if (datagram.size() <= EnvelopeBytes || datagram.front() != Version) {
        return std::nullopt;
    }
    const auto signedPart = datagram.first(datagram.size() - CodeBytes);
    const auto sent = datagram.last(CodeBytes);
    const bool verified = std::ranges::any_of(keys, [&](const PeerKey &key) {
        return sodium_memcmp(codeOf(signedPart, key).data(), sent.data(), CodeBytes) == 0;
    });
    if (!verified) {
        return std::nullopt;
    }
    const auto payload = signedPart.subspan(1);
    return Bytes(payload.begin(), payload.end());
}

} // namespace limereel::peer
