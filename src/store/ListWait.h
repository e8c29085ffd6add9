/** \file
 * Whether a box that needs a list of the store waits for the relays of its hall to read it.
 *
 * With ten thousand servers a list is 50 pages and 4 MB. A fleet of 985 boxes of which half starts
 * again, or whose relays lose the store for two seconds, would ask for 25,000 pages and 2 GB at
 * once. The relays read the list once and tell the others what they lack.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <optional>

namespace limereel::store {

/** What a box knows of a list that it needs. */
struct ListNeed
{
    bool known = false;              ///< The box has had a whole list before.
    bool relaysKnown = false;        ///< Its hall has relays, as far as it knows.
    bool readsStoreDirectly = false; ///< It is one of them.
    /** When the first page said that there are more; nothing if it wasn't read. */
    std::optional<kernel::Instant> firstPage;
    /** When the store had forgotten what changed since a long list that the box has; nothing if it
     * hadn't, or if the list is short. */
    std::optional<kernel::Instant> historyLost;

    auto operator<=>(const ListNeed &) const = default;
};

/** Whether the store isn't asked for the list, or for the rest of it, for now. */
bool leavesListToRelays(const ListNeed &need, kernel::Instant now);

} // namespace limereel::store
