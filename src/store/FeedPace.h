/** \file
 * How long the calls of a feed may take: waits of watches, waits for answers and for pages of a
 * list, so that the bounds of a deployment hold with slow, silent and crowded stores.
 */
#pragma once

#include "kernel/decisions/Time.h"

namespace limereel::store {

/** The pace of one feed. */
struct FeedPace
{
    kernel::Duration wait = 2s; ///< Of one watch, at most.

    /** Longest age that a confirmation may reach before the next one: two watches in a row, with
     * what the store takes to answer, and with the pause between them if the first one brought a
     * change. Zero: no matter. */
    kernel::Duration confirmWithin{};

    /** Longest time until a watch whose store has fallen silent is given up, its wait included.
     * Zero: no matter. */
    kernel::Duration giveUpWithin{};

    kernel::Duration answer = 1s;        ///< Wait for an answer beyond the watch, at least,
    kernel::Duration longestAnswer = 2s; ///< and at most, from a store that has been slow.

    /** Pause after a change, so that changes in quick succession come with one call: the store
     * counts each, and answers all boxes for each change. */
    kernel::Duration afterChange{};

    auto operator<=>(const FeedPace &) const = default;
};

/** How long a watch may wait at a store that lately took \a latency to answer, if the last
 * confirmation has reached \a age. */
kernel::Duration watchWait(const FeedPace &pace, kernel::Duration latency,
                           kernel::Duration age = {});

/** How long an answer is waited for, beyond the watch, from such a store. */
kernel::Duration answerWait(const FeedPace &pace, kernel::Duration latency);

/** How long a page of a list is waited for after \a failures in a row: longer each time, since a
 * crowd of starting boxes fills the store's link, and what is given up has to be sent again. A box
 * that has \a listed before only looks whether the store is back, and soon asks again. */
kernel::Duration pageWait(const FeedPace &pace, int failures, bool listed);

/** What boxes that hear through a relay must still keep. */
struct RelayBounds
{
    kernel::Duration usableFor{};         ///< Age that a confirmation may reach; zero: no matter.
    kernel::Duration changeKnownWithin{}; ///< A change must be known at each box by then.
};

/**
 * The pace of a relay, whose own lateness adds to that of those who ask it. The bound in which a
 * change must be known holds the pause after another change, one watch that falls silent, the wait
 * until it is given up, and the turn to the next relay; confirmations pass two watches of the relay
 * and one hold of an ask.
 */
FeedPace relayPace(const FeedPace &pace, const RelayBounds &bounds);

/** How long a relay that has no news may hold an ask: as long as one of its own watches, which
 * brings the next confirmation. */
kernel::Duration relayHoldTime(const FeedPace &relaying);

/** From when on a confirmation is so old that its relay is given up, with a part of \a usableFor
 * left to find another one. */
kernel::Duration maxRelayedAge(kernel::Duration usableFor);

/** From how many boxes of a hall on two relays ask the store less than all boxes do, each by
 * itself. Below it nobody relays. */
std::size_t minBoxesForRelaying(const FeedPace &alone, const FeedPace &relaying);

/** Longest wait for the answer of a relay beyond the hold. A box with an eighth of a core is held
 * up for 0.2 to 0.3 s now and then; one given up without need costs its asker one more question. */
inline constexpr kernel::Duration RelayAnswer = 400ms;

} // namespace limereel::store
