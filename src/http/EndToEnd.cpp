#include "http/EndToEnd.h"

#include <array>

namespace limereel::http {

namespace {

constexpr std::array<std::string_view, 11> ConnectionFields = {"connection",
                                                               "keep-alive",
                                                               "proxy-connection",
                                                               "proxy-authorization",
                                                               "te",
                                                               "trailer",
                                                               "transfer-encoding",
                                                               "upgrade",
                                                               "content-length",
                                                               "expect",
                                                               "proxy-authenticate"};

std::string lower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return result;
}

// The names that a Connection field lists, in lower case.
std::vector<std::string> listedNames(const Fields &fields)
{
    std::vector<std::string> names;
    std::string list = lower(fields.get("Connection"));
    std::size_t begin = 0;
    while (begin < list.size()) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        std::string name = list.substr(begin, end - begin);
        std::erase(name, ' ');
        names.push_back(std::move(name));
        begin = end + 1;
    }
    return names;
}

} // namespace

Fields endToEnd(const Fields &fields, std::span<const std::string_view> known)
{
    std::vector<std::string> listed = listedNames(fields);
    for (const std::string_view name : known) {
        std::erase(listed, lower(name));
    }
    Fields passed;
    for (const auto &[name, value] : fields) {
        const std::string key = lower(name);
        const bool own = std::ranges::find(ConnectionFields, key) != ConnectionFields.end()
                         || std::ranges::find(listed, key) != listed.end();
        if (!own) {
            passed.add(name, value);
        }
    }
    return passed;
}

} // namespace limereel::http
