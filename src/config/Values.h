/** \file
 * How the values of settings are written: numbers, flags, lists of names. Used for the settings
 * tree and for a box's own INI file, so that both read alike.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::config {

/** A whole number, nothing else around it. */
std::optional<std::int64_t> toInteger(std::string_view text);

/** A finite decimal number, nothing else around it. */
std::optional<double> toDecimal(std::string_view text);

/** The names of a list that is separated by commas and blanks; empty ones are dropped. */
std::vector<std::string> splitNames(std::string_view text);

/** Whether \a text is 1 to 63 of lower-case letters, digits, '.', '_' and '-', a letter or digit
 * first. */
bool isName(std::string_view text);

/** \a number without needless zeros. */
std::string trimmedNumber(double number);

} // namespace limereel::config
