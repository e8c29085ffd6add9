#include "http/Message.h"

namespace limereel::http {

std::string Request::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    std::string_view rest = mark == std::string::npos ? std::string_view()
                                                      : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            return std::string(pair.substr(std::min(equals + 1, pair.size())));
        }
    }
    return {};
}

} // namespace limereel::http
