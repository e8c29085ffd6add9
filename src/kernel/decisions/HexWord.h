/** \file
 * 64-bit words as sixteen hexadecimal digits, for header fields, paths and logs.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limereel::kernel {

inline constexpr std::size_t HexWordDigits = 16;

/** \a word in sixteen digits. */
std::string hexWord(std::uint64_t word);

/** The word that \a digits, hexadecimal ones and nothing else, stand for. */
std::optional<std::uint64_t> wordFromHex(std::string_view digits);

} // namespace limereel::kernel
