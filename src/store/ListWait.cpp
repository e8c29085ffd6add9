#include "store/ListWait.h"

namespace limereel::store {

namespace {

// Seeds answer a greeting within some milliseconds; where nobody does, the list goes on after it.
constexpr kernel::Duration AwaitFirstRelays = 500ms;
// A relay has the store back, and has read a list of 50 pages, within a second; two leave room for
// one that died. Then a box reads on by itself, within the seconds that a leaving server has.
constexpr kernel::Duration AwaitRelays = 2s;

} // namespace

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
