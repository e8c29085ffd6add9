#include "forward/PlaceSearch.h"

#include <algorithm>

namespace limereel::forward {

namespace {

constexpr std::size_t MaxOwnersAsked = 3; ///< Before a random server is used without a place.
// Each costs the whole time limit of an ask, and the next owner may be as slow.
constexpr std::size_t MaxSilentOwners = 2;

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
    if (said == OwnerSaid::Granted || requirements.spread) {
        return true;
    }
    if (said == OwnerSaid::Nothing) {
        silent_.push_back(server);
    }
    requirements.full.push_back(server);
    requirements.spread =
            requirements.full.size() >= MaxOwnersAsked || silent_.size() >= MaxSilentOwners;
    return false;
}

bool PlaceSearch::wasSilent(const std::string &server) const
{
    return std::ranges::find(silent_, server) != silent_.end();
}

} // namespace limereel::forward
