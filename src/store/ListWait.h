/** \file
 * Decides whether a box that needs a list of the store waits for the relays of its hall to read it,
 * and when a list is read again that couldn't be read to its end.
 *
 * With ten thousand servers a list has 50 pages and 4 MB. If half of a fleet of 985 boxes restarts,
 * or its relays lose the store for two seconds, the boxes would ask for 25,000 pages and 2 GB at
 * once. Instead the relays read the list once and send the other boxes what they lack.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <optional>
#include <random>

namespace limereel::store {

/** The state of a box that needs a list. */
struct ListNeed
{
    bool known = false;              ///< The box has had a complete list before.
    bool relaysKnown = false;        ///< The box knows of relays in its hall.
    bool readsStoreDirectly = false; ///< The box is a relay, or its hall has none.
    /** When the first page reported that there are more; nullopt if none was read. */
    std::optional<kernel::Instant> firstPage;
    /** When the store turned out to have no history since the long list that the box has; nullopt
     * if it has the history, or if the list is short. */
    std::optional<kernel::Instant> historyLost;

    auto operator<=>(const ListNeed &) const = default;
};

/** How long a box waits until it reads a list again of which it could have only a part, if that is
 * all it has had for the time \a partialFor.
 * \param readsStoreDirectly as in ListNeed; all others of a hall would ask beside its relays. */
kernel::Duration relistPause(kernel::Duration partialFor, bool readsStoreDirectly,
                             std::mt19937_64 &random);

/** Whether the box doesn't ask the store for the list, or the rest of it, at \a now. */
bool leavesListToRelays(const ListNeed &need, kernel::Instant now);

} // namespace limereel::store
