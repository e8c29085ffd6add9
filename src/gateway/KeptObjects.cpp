#include "gateway/KeptObjects.h"

#include <nlohmann/json.hpp>

namespace limereel::gateway {

namespace {

// Bytes that a relay with a link of 20 Mbit/s can send to each of sixty boxes within a second.
constexpr std::size_t MaxSmallBytes = 41000;

store::KeptObject keptObject(const store::StoredObject &object, bool large)
{
    store::KeptObject kept{object.name, object.revision, object.gone, large, {}};
    if (object.gone || large) {
        return kept;
    }
    try {
        kept.text = object.content.dump();
    } catch (const nlohmann::json::exception &) {
        // The content isn't valid UTF-8; other boxes read it from the store themselves.
        kept.large = true;
    }
    return kept;
}

} // namespace

std::vector<store::KeptObject> keptObjects(const std::vector<store::StoredObject> &objects,
                                           std::size_t answerBytes, bool relays)
{
    const bool large = !objects.empty() && !relays && answerBytes / objects.size() > MaxSmallBytes;
    std::vector<store::KeptObject> kept;
    kept.reserve(objects.size());
    for (const store::StoredObject &object : objects) {
        kept.push_back(keptObject(object, large));
    }
    return kept;
}

} // namespace limereel::gateway
