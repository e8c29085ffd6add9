#include "store/Directory.h"

#include "config/Values.h"

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

// Another writer may have spoilt one entry; the others hold all the same.
template <typename Entry>
std::vector<Entry> readEntries(const json &array, Entry (*read)(const json &),
                               std::size_t &unreadable)
{
    std::vector<Entry> entries;
    for (const json &object : array.get_ref<const json::array_t &>()) {
        try {
            entries.push_back(read(object));
        } catch (const json::exception &) {
            ++unreadable;
        }
    }
    return entries;
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
        list.boxes = readEntries(object.at("boxes"), listedBox, list.unreadable);
        list.backends = readEntries(object.at("backends"), listedBackend, list.unreadable);
        return list;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::optional<std::vector<std::string>> hallNamesFromJson(std::string_view text)
{
    try {
        const json array = json::parse(text);
        std::vector<std::string> names;
        for (const json &name : array.get_ref<const json::array_t &>()) {
            if (name.is_string() && config::isName(name.get_ref<const std::string &>())) {
                names.push_back(name.get<std::string>());
            }
        }
        return names;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace limereel::store
