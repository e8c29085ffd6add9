#include "forward/PlaceSearch.h"

namespace limereel::forward {

namespace {

constexpr std::size_t MaxOwnersAsked = 3; ///< Before a random server is used without a place.

} // namespace

std::string_view text(OwnerSaid said)
{
    switch (said) {
    case OwnerSaid::NotAsked:
        return "not-asked";
    case OwnerSaid::Granted:
        return "granted";
    case OwnerSaid::Nothing:
        return "unanswered";
    case OwnerSaid::AboveBound:
        return "above-bound";
    }
    return "unknown";
}

bool PlaceSearch::mayUse(OwnerSaid said, const std::string &server,
                         ServerRequirements &requirements)
{
    if (said != OwnerSaid::AboveBound || requirements.spread) {
        return true;
    }
    requirements.full.push_back(server);
    requirements.spread = requirements.full.size() >= MaxOwnersAsked;
    return false;
}

} // namespace limereel::forward
