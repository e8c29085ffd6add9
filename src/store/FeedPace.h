/** \file
 * Time limits for the calls of a feed: the duration of watches and the timeouts for answers and for
 * pages of a list. They keep the time bounds of a deployment with stores that are slow, silent or
 * overloaded.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace limereel::store {

/** The time limits of one feed. */
struct FeedPace
{
    kernel::Duration wait = 2s; ///< Maximum duration of one watch.

    /** Maximum age of a confirmation when the next one arrives. Two consecutive watches must fit,
     * with the store's latency and, if the first one brought a change, the pause between them.
     * Zero: no limit. */
    kernel::Duration confirmWithin{};

    /** Maximum time until a watch is given up because the store doesn't answer, including the
     * watch's own duration. Zero: no limit. */
    kernel::Duration giveUpWithin{};

    kernel::Duration answer = 1s;        ///< Minimum timeout for an answer after the watch.
    kernel::Duration longestAnswer = 2s; ///< Maximum of that timeout, for a slow store.

    /** Pause after a change, so that one call returns several changes in quick succession: the
     * store's rate limit counts each call, and each change makes it answer all boxes. */
    kernel::Duration afterChange{};

    auto operator<=>(const FeedPace &) const = default;
};

/** Duration of the next watch at a store whose recent answer took \a latency, if the last
 * confirmation is \a age old. */
kernel::Duration watchWait(const FeedPace &pace, kernel::Duration latency,
                           kernel::Duration age = {});

/** Timeout for an answer, beyond the duration of the watch, from such a store. */
kernel::Duration answerWait(const FeedPace &pace, kernel::Duration latency);

/** Timeout for a page of a list after \a failures in a row. It grows with each failure, since many
 * boxes that start at once saturate the store's link, and a page that is given up has to be sent
 * again. A box that has \a listed before only probes whether the store is back; its timeout stays
 * short, so that it soon asks again. */
kernel::Duration pageWait(const FeedPace &pace, int failures, bool listed);

/** Time bounds that also hold for boxes that read through a relay. */
struct RelayBounds
{
    kernel::Duration usableFor{};         ///< Maximum age of a confirmation; zero: no limit.
    kernel::Duration changeKnownWithin{}; ///< Time in which each box must know a change.
};

/**
 * The time limits of a relay, whose delay adds to that of the boxes that ask it. The bound for a
 * change covers the pause after another change, one watch that gets no answer, the timeout until it
 * is given up, and the switch to the next relay. The bound for a confirmation covers two watches of
 * the relay and one request that the relay holds.
 */
FeedPace relayPace(const FeedPace &pace, const RelayBounds &bounds);

/** How long a relay without changes may hold a request: as long as one of its own watches, which
 * brings the next confirmation. */
kernel::Duration relayHoldTime(const FeedPace &relaying);

/** Age of a confirmation from which its relay is given up. A part of \a usableFor is left to find
 * another relay. */
kernel::Duration maxRelayedAge(kernel::Duration usableFor);

/**
 * How long a box searches relays, counted from when it last knew all that the store held, before it
 * asks the store. A relay that works confirms within this time. The rest of the bound
 * \a changeKnownWithin is left for the store's answer. Boxes whose relays stop at the same time
 * differ in this time, so that they don't ask all at once.
 * \param box hash of its name.
 */
kernel::Duration searchTime(const FeedPace &relaying, kernel::Duration changeKnownWithin,
                            std::uint64_t box);

/** Number of boxes in a hall from which on two relays call the store less often than all boxes
 * would, each by itself. In smaller halls no box relays. */
std::size_t minBoxesForRelaying(const FeedPace &alone, const FeedPace &relaying);

/** Timeout for the answer of a relay, beyond the time that the relay holds the request. A box with
 * an eighth of a core stalls for 0.2 to 0.3 s now and then; giving up a relay that works costs one
 * more request. */
inline constexpr kernel::Duration RelayAnswer = 400ms;

/** The time limits of one question to a relay. */
struct AskTimes
{
    kernel::Duration hold{};    ///< How long the relay may wait for news.
    kernel::Duration timeout{}; ///< How long the asking box waits for the answer.

    auto operator<=>(const AskTimes &) const = default;
};

/** The limits for a relay that may hold the question for \a hold, if \a left is the rest of the
 * search; empty: the search has no limit. */
AskTimes askTimes(kernel::Duration hold, std::optional<kernel::Duration> left);

} // namespace limereel::store
