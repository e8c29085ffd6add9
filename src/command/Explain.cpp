#include "command/Explain.h"

#include <nlohmann/json.hpp>

namespace limereel::command {

using nlohmann::json;

namespace {

// A log may have been taken from a console that puts something before each line.
json objectIn(const std::string &line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos) {
        return json::value_t::discarded;
    }
    return json::parse(line.substr(begin), nullptr, false);
}

std::string textOf(const json &object, const char *name)
{
    const auto place = object.find(name);
    if (place == object.end()) {
        return {};
    }
    return place->is_string() ? place->get<std::string>() : place->dump();
}

// What the layout shows by itself.
bool isFrame(const std::string &name)
{
    static const std::vector<std::string> Names = {"time",    "level", "box",       "part",
                                                   "message", "event", "steady_ms", "request"};
    return std::ranges::find(Names, name) != Names.end();
}

std::string inputsOf(const json &object)
{
    std::string inputs;
    for (const auto &[name, value] : object.items()) {
        if (!isFrame(name)) {
            inputs += (inputs.empty() ? "" : ", ") + name + "="
                      + (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return inputs;
}

} // namespace

std::vector<StoryLine> linesOf(const std::string &request, std::istream &log)
{
    std::vector<StoryLine> lines;
    std::string text;
    while (std::getline(log, text)) {
        const json object = objectIn(text);
        if (!object.is_object() || textOf(object, "request") != request) {
            continue;
        }
        const std::string inputs = inputsOf(object);
        lines.push_back({textOf(object, "time"), textOf(object, "box"), textOf(object, "part"),
                         textOf(object, "message") + (inputs.empty() ? "" : " (" + inputs + ")")});
    }
    return lines;
}

} // namespace limereel::command
