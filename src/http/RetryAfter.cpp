#include "http/RetryAfter.h"

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <locale>
#include <sstream>

namespace limereel::http {

namespace {

using TimeOfDay = std::chrono::system_clock::time_point;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    const std::size_t first = std::min(text.find_first_not_of(Blanks), text.size());
    text.remove_prefix(first);
    const std::size_t last = text.find_last_not_of(Blanks);
    return last == std::string_view::npos ? text : text.substr(0, last + 1);
}

// Digits, and perhaps a point and more digits; no sign, no exponent.
std::optional<kernel::Duration> secondsIn(std::string_view text)
{
    const bool plain = text.find_first_not_of("0123456789.") == std::string_view::npos;
    if (!plain || text.empty() || text.front() == '.' || text.back() == '.') {
        return std::nullopt;
    }
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds,
                                              std::chars_format::fixed);
    if (end != text.data() + text.size()) {
        return std::nullopt;
    }
    const bool endless = error == std::errc::result_out_of_range
                         || seconds >= kernel::seconds(LongestRetryAfter);
    return endless ? LongestRetryAfter
                   : std::chrono::ceil<kernel::Duration>(std::chrono::duration<double>(seconds));
}

// "Sun, 06 Nov 1994 08:49:37 GMT", the form that RFC 9110 tells senders to use.
std::optional<TimeOfDay> dateIn(std::string_view text)
{
    std::tm parts{};
    std::istringstream stream{std::string(text)};
    stream.imbue(std::locale::classic());
    stream >> std::get_time(&parts, "%a, %d %b %Y %H:%M:%S GMT");
    if (stream.fail() || stream.peek() != std::istringstream::traits_type::eof()) {
        return std::nullopt;
    }
    constexpr int FirstYear = 1900;
    const std::chrono::year_month_day day(
            std::chrono::year(parts.tm_year + FirstYear),
            std::chrono::month(static_cast<unsigned>(parts.tm_mon) + 1),
            std::chrono::day(static_cast<unsigned>(parts.tm_mday)));
    if (!day.ok()) {
        return std::nullopt;
    }
    return std::chrono::sys_days(day) + std::chrono::hours(parts.tm_hour)
           + std::chrono::minutes(parts.tm_min) + std::chrono::seconds(parts.tm_sec);
}

void add(RetryAfter &found, std::optional<kernel::Duration> wait)
{
    if (!wait) {
        found.unreadable = true;
        return;
    }
    found.wait = std::max(found.wait.value_or(kernel::Duration(0)), *wait);
}

// A list of numbers is what a proxy makes of two fields.
void addNumbers(RetryAfter &found, std::string_view list)
{
    while (true) {
        const std::size_t comma = list.find(',');
        add(found, secondsIn(trimmed(list.substr(0, comma))));
        if (comma == std::string_view::npos) {
            return;
        }
        list.remove_prefix(comma + 1);
    }
}

kernel::Duration waitUntil(TimeOfDay date, TimeOfDay now)
{
    const auto wait = std::chrono::duration_cast<kernel::Duration>(date - now);
    return std::clamp(wait, kernel::Duration(0), LongestRetryAfter);
}

} // namespace

RetryAfter retryAfter(const Fields &fields, TimeOfDay now)
{
    RetryAfter found;
    for (const std::string_view value : fields.all("Retry-After")) {
        if (const auto date = dateIn(trimmed(value))) {
            add(found, waitUntil(*date, dateIn(trimmed(fields.get("Date"))).value_or(now)));
        } else {
            addNumbers(found, value);
        }
    }
    return found;
}

} // namespace limereel::http
