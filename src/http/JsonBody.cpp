#include "http/JsonBody.h"

namespace limereel::http {

using nlohmann::json;

namespace {

// Looked at before parsing: the library's own hook for this more than doubles the time that a
// large body takes, and the event loop stands still meanwhile.
bool nestedTooDeep(std::string_view text)
{
    int depth = 0;
    bool inString = false;
    bool escaped = false;
    for (const char letter : text) {
        if (inString) {
            inString = escaped || letter != '"';
            escaped = !escaped && letter == '\\';
        } else if (letter == '"') {
            inString = true;
        } else if (letter == '[' || letter == '{') {
            ++depth;
        } else if (letter == ']' || letter == '}') {
            --depth;
        }
        if (depth > MostDepth) {
            return true;
        }
    }
    return false;
}

} // namespace

json parseBody(std::string_view text)
{
    if (nestedTooDeep(text)) {
        return json(json::value_t::discarded);
    }
    return json::parse(text, nullptr, false);
}

} // namespace limereel::http
