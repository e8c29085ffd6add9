#include "forward/EventCutter.h"

#include <algorithm>
#include <charconv>

namespace limereel::forward {

namespace {

constexpr std::string_view ByteOrderMark = "\xEF\xBB\xBF";

/** Where a line ends in a text. */
struct LineEnd
{
    std::size_t at = 0;    ///< Of its first byte that isn't part of the line's content.
    std::size_t after = 0; ///< Where the next line begins.
};

// The end of the line of which no byte before \a from ends it. A CR that ends \a text may be half
// of a CR LF.
std::optional<LineEnd> lineEnd(std::string_view text, std::size_t from)
{
    const std::size_t at = text.find_first_of("\r\n", from);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const bool two = text.substr(at).starts_with("\r\n");
    return LineEnd{at, at + (two ? 2 : 1)};
}

// Takes the next line off \a text, without its end.
std::string_view takeLine(std::string_view &text)
{
    const LineEnd end = lineEnd(text, 0).value_or(LineEnd{text.size(), text.size()});
    const std::string_view line = text.substr(0, end.at);
    text.remove_prefix(end.after);
    return line;
}

std::optional<std::uint64_t> numberIn(std::string_view value)
{
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    std::uint64_t number = 0;
    const auto [place, error] = std::from_chars(value.data(), value.data() + value.size(), number);
    return error == std::errc() ? std::optional(number) : std::nullopt;
}

RawEvent eventFrom(std::string bytes)
{
    constexpr std::string_view Id = "id:";
    constexpr std::string_view Data = "data";
    RawEvent event;
    event.bytes = std::move(bytes);
    std::string_view rest = event.bytes;
    if (rest.starts_with(ByteOrderMark)) {
        rest.remove_prefix(ByteOrderMark.size());
    }
    while (!rest.empty()) {
        const std::string_view line = takeLine(rest);
        if (line.starts_with(Id)) {
            event.id = numberIn(line.substr(Id.size()));
        }
        event.hasData = event.hasData || line.substr(0, line.find(':')) == Data;
    }
    return event;
}

} // namespace

std::vector<RawEvent> EventCutter::take(std::string_view part)
{
    pending_ += part;
    std::vector<RawEvent> events;
    std::size_t begin = 0;
    while (const auto end = lineEnd(pending_, searchFrom_)) {
        const bool blank = end->at == lineBegin_;
        const bool undecided = end->after == pending_.size() && pending_.back() == '\r';
        if (undecided && !blank) {
            break;
        }
        lineBegin_ = searchFrom_ = end->after;
        // An event that ends with a bare CR so far is passed on; an LF that follows it comes alone.
        if (blank) {
            events.push_back(eventFrom(pending_.substr(begin, end->after - begin)));
            begin = end->after;
        }
    }
    pending_.erase(0, begin);
    lineBegin_ -= begin;
    const bool endsWithReturn = !pending_.empty() && pending_.back() == '\r';
    searchFrom_ = std::max(lineBegin_, pending_.size() - (endsWithReturn ? 1 : 0));
    return events;
}

bool EventCutter::insideEvent() const
{
    std::string_view rest = pending_;
    if (lineBegin_ != pending_.size()) {
        return true;
    }
    while (!rest.empty()) {
        if (!takeLine(rest).starts_with(':')) {
            return true;
        }
    }
    return false;
}

std::string EventCutter::takeRest()
{
    std::string rest;
    rest.swap(pending_);
    lineBegin_ = searchFrom_ = 0;
    return rest;
}

} // namespace limereel::forward
