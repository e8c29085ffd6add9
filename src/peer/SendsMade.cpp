#include "peer/SendsMade.h"

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
           + std::to_string(sends.unusedRepeats);
}

std::optional<SendsMade> sendsMadeFrom(std::string_view text)
{
    const std::size_t first = text.find(' ');
    const std::size_t last = text.rfind(' ');
    if (first == last) {
        return std::nullopt;
    }
    const auto runs = countFrom(text.substr(0, first));
    const auto rejections = countFrom(text.substr(first + 1, last - first - 1));
    const auto unused = countFrom(text.substr(last + 1));
    if (!runs || !rejections || !unused) {
        return std::nullopt;
    }
    return SendsMade{*runs, *rejections, *unused};
}

} // namespace limereel::peer
