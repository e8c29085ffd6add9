#include "config/Values.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace limereel::config {

namespace {

template <typename Number>
std::optional<Number> parse(std::string_view text)
{
    Number number{};
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

} // namespace

std::optional<std::int64_t> toInteger(std::string_view text)
{
    return parse<std::int64_t>(text);
}

std::optional<double> toDecimal(std::string_view text)
{
    const auto number = parse<double>(text);
    return number && std::isfinite(*number) ? number : std::nullopt;
}

std::vector<std::string> splitNames(std::string_view text)
{
    constexpr std::string_view Separators = ", \t";
    std::vector<std::string> names;
    std::size_t begin = text.find_first_not_of(Separators);
    while (begin != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(Separators, begin), text.size());
        names.emplace_back(text.substr(begin, end - begin));
        begin = text.find_first_not_of(Separators, end);
    }
    return names;
}

bool isName(std::string_view text)
{
    constexpr std::size_t MostLetters = 63;
    if (text.empty() || text.size() > MostLetters || !isLetterOrDigit(text.front())) {
        return false;
    }
    return std::ranges::all_of(
            text, [](char c) { return isLetterOrDigit(c) || c == '.' || c == '_' || c == '-'; });
}

std::string trimmedNumber(double number)
{
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) {
        text.pop_back();
    }
    return text;
}

} // namespace limereel::config
