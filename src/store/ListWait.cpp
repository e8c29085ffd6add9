#include "store/ListWait.h"

#include <algorithm>

namespace limereel::store {

namespace {

// Seeds answer a greeting within milliseconds. If none does, the box reads the list after this
// time.
constexpr kernel::Duration AwaitFirstRelays = 500ms;
// A relay reconnects to the store and reads a list of 50 pages within a second. Two seconds allow
// for a relay that died. Then the box reads on by itself, within the seconds that a server that
// shuts down still has.
constexpr kernel::Duration AwaitRelays = 2s;
/** The pauses between two lists of which only a part is had. */
struct RelistPace
{
    kernel::Duration shortest{};
    int listsPerTimePartial = 1; ///< How often the time that has passed holds the pause.
};

// A trouble that has just begun may end soon.
constexpr RelistPace OfDirectReaders = {500ms, 8};
// Hundreds of boxes in a hall may have such a list, of many pages.
constexpr RelistPace OfOthers = {8s, 1};
constexpr kernel::Duration LongestRelist = 60s;

} // namespace

kernel::Duration relistPause(kernel::Duration partialFor, bool readsStoreDirectly,
                             std::mt19937_64 &random)
{
    const RelistPace &pace = readsStoreDirectly ? OfDirectReaders : OfOthers;
    const kernel::Duration longest = std::clamp<kernel::Duration>(
            partialFor / pace.listsPerTimePartial, pace.shortest, LongestRelist);
    std::uniform_int_distribution<std::int64_t> jitter(longest.count() / 2, longest.count());
    return kernel::Duration(jitter(random));
}

bool leavesListToRelays(const ListNeed &need, kernel::Instant now)
{
    const auto within = [now](const std::optional<kernel::Instant> &since, kernel::Duration wait) {
        return since && now - *since < wait;
    };
    if (!need.relaysKnown) {
        return !need.known && within(need.firstPage, AwaitFirstRelays);
    }
    return !need.readsStoreDirectly
           && (within(need.firstPage, AwaitRelays) || within(need.historyLost, AwaitRelays));
}

} // namespace limereel::store
