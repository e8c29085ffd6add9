#include "placement/LeaseJson.h"

#include <nlohmann/json.hpp>

namespace limereel::placement {

using nlohmann::json;

std::string toJson(const LeaseRecord &record)
{
    return json{{"holder", record.holder}, {"token", record.token}, {"renewal", record.renewal}}
            .dump();
}

std::optional<LeaseRecord> leaseFromJson(std::string_view text)
{
    try {
        const json object = json::parse(text);
        return LeaseRecord{object.at("holder").get<std::string>(),
                           object.at("token").get<std::uint64_t>(),
                           object.at("renewal").get<std::uint64_t>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace limereel::placement
