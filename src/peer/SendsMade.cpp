#include "peer/SendsMade.h"

#include "kernel/decisions/HexWord.h"

#include <charconv>

namespace limereel::peer {

namespace {

// No request is sent as often; what says more is no number of sends.
constexpr std::uint32_t MostSends = 1000;

std::optional<std::uint32_t> countFrom(std::string_view digits)
{
    std::uint32_t count = 0;
    const char *const end = digits.data() + digits.size();
    const auto [stopped, error] = std::from_chars(digits.data(), end, count);
    if (error != std::errc() || stopped != end || count > MostSends) {
        return std::nullopt;
    }
    return count;
}

} // namespace

std::string text(const SendsMade &sends)
{
    return std::to_string(sends.runs) + ' ' + std::to_string(sends.rejections) + ' '
           + std::to_string(sends.unusedRepeats) + ' ' + kernel::hexWord(sends.lastServer);
}

std::optional<SendsMade> sendsMadeFrom(std::string_view text)
{
    SendsMade sends;
    for (std::uint32_t *const part : {&sends.runs, &sends.rejections, &sends.unusedRepeats}) {
        const std::size_t space = text.find(' ');
        const auto count = countFrom(text.substr(0, space));
        if (!count || space == std::string_view::npos) {
            return std::nullopt;
        }
        *part = *count;
        text.remove_prefix(space + 1);
    }
    const auto server = kernel::wordFromHex(text);
    if (text.size() != kernel::HexWordDigits || !server) {
        return std::nullopt;
    }
    sends.lastServer = *server;
    return sends;
}

} // namespace limereel::peer
