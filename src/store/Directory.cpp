#include "store/Directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace limereel::store {

namespace {

using nlohmann::json;

ListedBox listedBox(const json &object)
{
    return {.box = kernel::BoxId(object.at("name").get<std::string>()),
            .peer = object.at("peer").get<std::string>(),
            .control = object.value("control", std::string()),
            .leaving = object.value("leaving", false)};
}

ListedBackend listedBackend(const json &object)
{
    return {.backend = kernel::BackendId(object.at("name").get<std::string>()),
            .address = object.at("address").get<std::string>(),
            .service = object.value("service", std::string()),
            .modelCapacity = object.value("room", std::size_t{1}),
            .checksTokens = object.value("checks-tokens", false),
            .leaving = object.value("leaving", false)};
}

} // namespace

bool plausible(const HallList &last, const HallList &next)
{
    std::size_t kept = 0;
    for (const ListedBackend &backend : last.backends) {
        const auto same =
                std::ranges::find(next.backends, backend.backend, &ListedBackend::backend);
        kept += same != next.backends.end() ? 1 : 0;
    }
    return kept * 2 >= last.backends.size();
}

std::optional<HallList> hallListFromJson(std::string_view text)
{
    try {
        const json object = json::parse(text);
        HallList list;
        list.region = object.value("region", std::string());
        for (const json &box : object.at("boxes")) {
            list.boxes.push_back(listedBox(box));
        }
        for (const json &backend : object.at("backends")) {
            list.backends.push_back(listedBackend(backend));
        }
        return list;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<std::vector<std::string>> namesFromJson(std::string_view text)
{
    try {
        return json::parse(text).get<std::vector<std::string>>();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace limereel::store
