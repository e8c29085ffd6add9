#include "forward/PlaceSearch.h"

#include <algorithm>

namespace limereel::forward {

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
    if (said == OwnerSaid::Granted || requirements.spread) {
        return true;
    }
    const bool silent = said == OwnerSaid::Nothing;
    if (silent) {
        silent_.push_back(server);
    }
    requirements.full.push_back(server);
    // Silence costs the whole time limit of the asks, and the next owners may be as slow.
    requirements.spread = silent || requirements.full.size() >= MaxOwnersAsked;
    return false;
}

bool PlaceSearch::wasSilent(const std::string &server) const
{
    return std::ranges::find(silent_, server) != silent_.end();
}

} // namespace limereel::forward
