#include "peer/DetourMessages.h"

#include <nlohmann/json.hpp>

namespace limereel::peer {

namespace {

using nlohmann::json;

// The first word keeps it from being taken for another message under the same key.
constexpr const char *RequestWord = "detour-request";

// Boxes of earlier versions leave them out, and pass over them.
constexpr std::size_t OriginIndex = 8;
constexpr std::size_t MadeIndex = 9;
constexpr std::size_t ConfigVersionIndex = 10;

http::Fields fieldsFrom(const json &array)
{
    http::Fields fields;
    for (const json &field : array) {
        fields.add(field.at(0).get<std::string>(), field.at(1).get<std::string>());
    }
    return fields;
}

} // namespace

Bytes encode(const DetourRequest &request)
{
    json fields = json::array();
    for (const auto &[name, value] : request.request.fields) {
        fields.push_back(json::array({name, value}));
    }
    const json resumeAfter = request.resumeAfter ? json(*request.resumeAfter) : json();
    json array = json::array({RequestWord, request.from, request.leftMs, resumeAfter,
                              request.request.method, request.request.target, std::move(fields),
                              request.request.body});
    if (request.origin || request.made || request.configVersion) {
        array.push_back(request.origin ? text(*request.origin) : std::string());
    }
    if (request.made || request.configVersion) {
        array.push_back(request.made ? text(*request.made) : std::string());
    }
    if (request.configVersion) {
        array.push_back(*request.configVersion);
    }
    return json::to_msgpack(array);
}

std::optional<DetourRequest> decodeDetourRequest(std::span<const std::uint8_t> bytes)
{
    try {
        const json array = json::from_msgpack(bytes.begin(), bytes.end());
        if (array.at(0).get<std::string>() != RequestWord) {
            return std::nullopt;
        }
        DetourRequest request;
        request.from = array.at(1).get<std::string>();
        request.leftMs = array.at(2).get<std::uint32_t>();
        if (!array.at(3).is_null()) {
            request.resumeAfter = array.at(3).get<std::uint64_t>();
        }
        request.request.method = array.at(4).get<std::string>();
        request.request.target = array.at(5).get<std::string>();
        request.request.fields = fieldsFrom(array.at(6));
        request.request.body = array.at(7).get<std::string>();
        if (array.size() > OriginIndex) {
            request.origin = forward::streamOriginFrom(array.at(OriginIndex).get<std::string>());
        }
        if (array.size() > MadeIndex) {
            request.made = sendsMadeFrom(array.at(MadeIndex).get<std::string>());
        }
        if (array.size() > ConfigVersionIndex) {
            request.configVersion = array.at(ConfigVersionIndex).get<std::uint64_t>();
        }
        return request;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace limereel::peer
