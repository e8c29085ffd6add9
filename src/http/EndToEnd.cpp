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

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t";
    const std::size_t begin = std::min(text.find_first_not_of(Blanks), text.size());
    const std::size_t end = text.find_last_not_of(Blanks) + 1;
    return text.substr(begin, std::max(begin, end) - begin);
}

// The names that the Connection fields list, in lower case.
std::vector<std::string> listedNames(const Fields &fields)
{
    std::vector<std::string> names;
    for (std::string_view list : fields.all("Connection")) {
        while (!list.empty()) {
            const std::size_t end = std::min(list.find(','), list.size());
            names.push_back(lower(trimmed(list.substr(0, end))));
            list.remove_prefix(std::min(end + 1, list.size()));
        }
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
