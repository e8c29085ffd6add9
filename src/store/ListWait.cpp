#include "store/ListWait.h"

namespace limereel::store {

namespace {

// Seeds answer a greeting within milliseconds. If none does, the box reads the list after this
// time.
constexpr kernel::Duration AwaitFirstRelays = 500ms;
// A relay reconnects to the store and reads a list of 50 pages within a second. Two seconds allow
// for a relay that died. Then the box reads on by itself, within the seconds that a server that
// shuts down still has.
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
