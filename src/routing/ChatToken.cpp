#include "routing/ChatToken.h"

#include <array>
#include <cstring>
#include <sodium.h>
#include <vector>

namespace limereel::routing {

namespace {

constexpr std::size_t MacBytes = 12;

struct Fields
{
    std::uint64_t engine;
    std::uint64_t incarnation;
};

using Plain = std::array<std::uint8_t, sizeof(Fields)>;
using Mac = std::array<std::uint8_t, 16>;

// The key authenticates datagrams as well; the label keeps a code made for one use from verifying
// in the other.
Mac macOf(const Plain &plain, kernel::ChatKey chat, const peer::PeerKey &key)
{
    constexpr std::string_view Label = "limereel chat token";
    std::vector<std::uint8_t> input(Label.begin(), Label.end());
    input.insert(input.end(), plain.begin(), plain.end());
    std::array<std::uint8_t, sizeof(chat)> chatBytes{};
    std::memcpy(chatBytes.data(), &chat, sizeof(chat));
    input.insert(input.end(), chatBytes.begin(), chatBytes.end());
    Mac mac{};
    crypto_generichash(mac.data(), mac.size(), input.data(), input.size(), key.data(), key.size());
    return mac;
}

} // namespace

std::string makeChatToken(kernel::ChatKey chat, const Holder &holder, const peer::PeerKey &key)
{
    const Fields fields{holder.engine, holder.incarnation};
    Plain plain{};
    std::memcpy(plain.data(), &fields, sizeof(fields));
    const Mac mac = macOf(plain, chat, key);
    std::array<std::uint8_t, sizeof(Fields) + MacBytes> bytes{};
    std::memcpy(bytes.data(), plain.data(), plain.size());
    std::memcpy(bytes.data() + plain.size(), mac.data(), MacBytes);
    std::array<char, 2 * (sizeof(Fields) + MacBytes) + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    return hex.data();
}

std::optional<Holder> readChatToken(std::string_view token, kernel::ChatKey chat,
                                    std::span<const peer::PeerKey> keys)
{
    std::array<std::uint8_t, sizeof(Fields) + MacBytes> bytes{};
    std::size_t length = 0;
    const int failed = sodium_hex2bin(bytes.data(), bytes.size(), token.data(), token.size(),
                                      nullptr, &length, nullptr);
    if (failed != 0 || length != bytes.size() || token.size() != 2 * bytes.size()) {
        return std::nullopt;
    }
    Plain plain{};
    std::memcpy(plain.data(), bytes.data(), plain.size());
    for (const peer::PeerKey &key : keys) {
        const Mac mac = macOf(plain, chat, key);
        if (sodium_memcmp(mac.data(), bytes.data() + plain.size(), MacBytes) == 0) {
            Fields fields{};
            std::memcpy(&fields, plain.data(), sizeof(fields));
            return Holder{fields.engine, fields.incarnation};
        }
    }
    return std::nullopt;
}

} // namespace limereel::routing
