#include "answer/EventSplitter.h"

#include <algorithm>

namespace limereel::answer {

namespace {

// The data lines of one event, joined by line ends; other fields and comments are ignored.
std::string dataOf(std::string_view event)
{
    constexpr std::string_view Field = "data:";
    std::string data;
    bool any = false;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(Field)) {
            continue;
        }
        line.remove_prefix(Field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        data += (any ? "\n" : "") + std::string(line);
        any = true;
    }
    return data;
}

} // namespace

bool EventSplitter::take(std::string_view part, std::vector<std::string> &events)
{
    constexpr std::string_view Blank = "\n\n";
    buffer_ += part;
    std::size_t begin = 0;
    for (std::size_t end = buffer_.find(Blank); end != std::string::npos;
         end = buffer_.find(Blank, begin)) {
        if (std::string data = dataOf(std::string_view(buffer_).substr(begin, end - begin));
            !data.empty()) {
            events.push_back(std::move(data));
        }
        begin = end + Blank.size();
    }
    buffer_.erase(0, begin);
    return buffer_.size() <= maxBytes_;
}

} // namespace limereel::answer
