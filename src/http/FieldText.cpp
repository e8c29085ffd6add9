#include "http/FieldText.h"

#include <algorithm>

namespace limereel::http {

namespace {

bool isBlank(char letter)
{
    return letter == ' ' || letter == '\t';
}

bool isControl(char letter)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    const auto byte = static_cast<unsigned char>(letter);
    return (byte < FirstPrintable && letter != '\t') || byte == Delete;
}

} // namespace

bool isFieldValue(std::string_view text)
{
    return !text.empty() && !isBlank(text.front()) && !isBlank(text.back())
           && std::ranges::none_of(text, isControl);
}

} // namespace limereel::http
