#include "forward/EventCutter.h"

#include <algorithm>
#include <charconv>

namespace limereel::forward {

namespace {

std::optional<std::uint64_t> idIn(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(Field)) {
            continue;
        }
        line.remove_prefix(Field.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        const auto [place, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        return error == std::errc() ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

// The position after the first blank line at or after \a from; npos if there is none.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    while (true) {
        const std::size_t lineEnd = text.find('\n', from);
        if (lineEnd == std::string_view::npos) {
            return lineEnd;
        }
        const std::string_view next = text.substr(lineEnd + 1, 2);
        if (next.starts_with('\n')) {
            return lineEnd + 2;
        }
        if (next == "\r\n") {
            return lineEnd + 3;
        }
        from = lineEnd + 1;
    }
}

} // namespace

std::vector<RawEvent> EventCutter::take(std::string_view part)
{
    // A blank line may be split between two parts, so the last three bytes of the earlier one are
    // searched again.
    constexpr std::size_t Overlap = 3;
    std::size_t from = pending_.size() < Overlap ? 0 : pending_.size() - Overlap;
    pending_ += part;
    std::vector<RawEvent> events;
    std::size_t begin = 0;
    for (std::size_t end = endOfEvent(pending_, from); end != std::string::npos;
         end = endOfEvent(pending_, begin)) {
        std::string bytes = pending_.substr(begin, end - begin);
        const auto id = idIn(bytes);
        events.push_back({std::move(bytes), id});
        begin = end;
    }
    pending_.erase(0, begin);
    return events;
}

std::string EventCutter::takeRest()
{
    std::string rest;
    rest.swap(pending_);
    return rest;
}

} // namespace limereel::forward
