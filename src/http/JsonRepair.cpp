#include "http/JsonRepair.h"

#include "http/JsonBody.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <cstdint>
#include <cstdlib>

namespace limereel::http {

namespace {

constexpr std::string_view Replacement = "\xef\xbf\xbd"; ///< U+FFFD.
constexpr std::string_view EscapedReplacement = "\\ufffd";
constexpr std::size_t UnicodeEscape = 6; ///< Length of \uXXXX.
constexpr std::size_t MaxExponentDigits = 9;
constexpr unsigned char FirstPrintable = 0x20;
constexpr std::uint32_t FirstSurrogate = 0xd800;
constexpr std::uint32_t FirstLowSurrogate = 0xdc00;
constexpr std::uint32_t LastSurrogate = 0xdfff;
constexpr std::uint32_t LastCodePoint = 0x10ffff;

bool isNumberLetter(char letter)
{
    return std::isdigit(static_cast<unsigned char>(letter)) != 0
           || std::string_view("+-.eE").find(letter) != std::string_view::npos;
}

bool isTooLarge(std::string_view number)
{
    const std::size_t exponent = number.find_first_of("eE");
    if (exponent != std::string_view::npos && number.size() - exponent > MaxExponentDigits + 1) {
        return true;
    }
    return std::isinf(std::strtod(std::string(number).c_str(), nullptr));
}

/** The form of a character's first byte in UTF-8. */
struct LeadByte
{
    std::size_t length = 0; ///< Of the character; 0: no character begins so.
    std::uint32_t bits = 0;
    std::uint32_t least = 0; ///< Smaller code points have a shorter form.
};

LeadByte leadOf(unsigned char byte)
{
    if (byte < 0x80) {
        return {1, byte, 0};
    }
    if ((byte & 0xe0U) == 0xc0U) {
        return {2, byte & 0x1fU, 0x80};
    }
    if ((byte & 0xf0U) == 0xe0U) {
        return {3, byte & 0x0fU, 0x800};
    }
    if ((byte & 0xf8U) == 0xf0U) {
        return {4, byte & 0x07U, 0x10000};
    }
    return {};
}

/** The length of the character at the beginning of \a text; 0 if none is there. */
std::size_t characterLength(std::string_view text)
{
    const LeadByte lead = leadOf(static_cast<unsigned char>(text.front()));
    if (lead.length == 0 || lead.length > text.size()) {
        return 0;
    }
    std::uint32_t point = lead.bits;
    for (std::size_t place = 1; place < lead.length; ++place) {
        const auto byte = static_cast<unsigned char>(text[place]);
        if ((byte & 0xc0U) != 0x80U) {
            return 0;
        }
        point = (point << 6U) | (byte & 0x3fU);
    }
    const bool surrogate = point >= FirstSurrogate && point <= LastSurrogate;
    const bool valid = point >= lead.least && point <= LastCodePoint && !surrogate;
    return valid ? lead.length : 0;
}

/** The value of the \uXXXX at the beginning of \a text; nothing if there is none. */
std::optional<std::uint32_t> escapedUnit(std::string_view text)
{
    if (text.size() < UnicodeEscape || !text.starts_with("\\u")) {
        return std::nullopt;
    }
    std::uint32_t unit = 0;
    for (const char digit : text.substr(2, UnicodeEscape - 2)) {
        if (std::isxdigit(static_cast<unsigned char>(digit)) == 0) {
            return std::nullopt;
        }
        const int letter = std::tolower(static_cast<unsigned char>(digit));
        const int value = letter <= '9' ? letter - '0' : letter - 'a' + 10;
        unit = unit * 16 + static_cast<std::uint32_t>(value);
    }
    return unit;
}

/** One pass over a text. */
class Repair
{
public:
    explicit Repair(std::string_view text)
        : text_(text)
    {
    }

    std::optional<RepairedJson> run()
    {
        while (place_ < text_.size()) {
            step();
        }
        if (made_.replaced() == 0) {
            return std::nullopt;
        }
        return std::move(made_);
    }

private:
    void step()
    {
        const char letter = text_[place_];
        if (letter == '"') {
            string();
        } else if (letter == '[' || letter == '{') {
            open();
        } else if (letter == ']' || letter == '}') {
            --depth_;
            copy(1);
        } else if (isNumberLetter(letter)) {
            number();
        } else {
            copy(1);
        }
    }

    void copy(std::size_t bytes)
    {
        made_.text += text_.substr(place_, bytes);
        place_ += bytes;
    }

    void replace(std::size_t bytes, std::string_view by)
    {
        made_.text += by;
        place_ += bytes;
    }

    void open()
    {
        if (depth_ < MostDepth) {
            ++depth_;
            copy(1);
            return;
        }
        ++made_.deep;
        replace(containerLength(), "null");
    }

    /** The length of the container that begins here, or of the rest if it has no end. */
    std::size_t containerLength() const
    {
        std::size_t open = 0;
        bool inString = false;
        for (std::size_t place = place_; place < text_.size(); ++place) {
            const char letter = text_[place];
            if (inString) {
                place += letter == '\\' ? 1 : 0;
                inString = letter != '"';
            } else if (letter == '"') {
                inString = true;
            } else if (letter == '[' || letter == '{') {
                ++open;
            } else if ((letter == ']' || letter == '}') && --open == 0) {
                return place + 1 - place_;
            }
        }
        return text_.size() - place_;
    }

    // Bytes that only look like a number are left to the parser.
    void number()
    {
        std::size_t length = 1;
        while (place_ + length < text_.size() && isNumberLetter(text_[place_ + length])) {
            ++length;
        }
        if (!isTooLarge(text_.substr(place_, length))) {
            copy(length);
            return;
        }
        ++made_.numbers;
        // No reader takes an object for a number, or for a member that is missing.
        replace(length, depth_ < MostDepth ? "{}" : "null");
    }

    void string()
    {
        copy(1);
        while (place_ < text_.size()) {
            const char letter = text_[place_];
            if (letter == '"') {
                copy(1);
                return;
            }
            if (letter == '\\') {
                escape();
            } else {
                character();
            }
        }
    }

    void character()
    {
        const std::size_t length = characterLength(text_.substr(place_));
        const bool control = static_cast<unsigned char>(text_[place_]) < FirstPrintable;
        if (length > 0 && !control) {
            copy(length);
            return;
        }
        ++made_.characters;
        replace(1, Replacement);
    }

    void escape()
    {
        const std::string_view rest = text_.substr(place_);
        const auto unit = escapedUnit(rest);
        if (!unit || *unit < FirstSurrogate || *unit > LastSurrogate) {
            copy(std::min<std::size_t>(unit ? UnicodeEscape : 2, rest.size()));
            return;
        }
        const auto second = escapedUnit(rest.substr(UnicodeEscape));
        const bool pair = *unit < FirstLowSurrogate && second && *second >= FirstLowSurrogate
                          && *second <= LastSurrogate;
        if (pair) {
            copy(2 * UnicodeEscape);
            return;
        }
        ++made_.characters;
        replace(UnicodeEscape, EscapedReplacement);
    }

    std::string_view text_;
    std::size_t place_ = 0;
    int depth_ = 0;
    RepairedJson made_;
};

} // namespace

std::optional<RepairedJson> repairJson(std::string_view text)
{
    return Repair(text).run();
}

nlohmann::json parseStored(std::string_view text)
{
    nlohmann::json value = parseBody(text);
    if (!value.is_discarded()) {
        return value;
    }
    const auto repaired = repairJson(text);
    return repaired ? parseBody(repaired->text) : std::move(value);
}

} // namespace limereel::http
