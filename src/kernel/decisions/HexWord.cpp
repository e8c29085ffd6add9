#include "kernel/decisions/HexWord.h"

#include <array>
#include <charconv>

namespace limereel::kernel {

namespace {

constexpr int Hexadecimal = 16;

} // namespace

std::string hexWord(std::uint64_t word)
{
    std::string text(HexWordDigits, '0');
    std::array<char, HexWordDigits> buffer{};
    const auto [end, error] =
            std::to_chars(buffer.data(), buffer.data() + buffer.size(), word, Hexadecimal);
    const auto length = static_cast<std::size_t>(end - buffer.data());
    return text.replace(HexWordDigits - length, length, buffer.data(), length);
}

std::optional<std::uint64_t> wordFromHex(std::string_view digits)
{
    std::uint64_t word = 0;
    const auto [end, error] =
            std::from_chars(digits.data(), digits.data() + digits.size(), word, Hexadecimal);
    const bool whole = error == std::errc() && end == digits.data() + digits.size();
    return whole ? std::optional(word) : std::nullopt;
}

} // namespace limereel::kernel
