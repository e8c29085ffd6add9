/** \file
 * How a box asks a relay of its hall what the store holds, and what that answers.
 *
 * All times are told as seen from the question: how long after the relay took it in, or before it
 * if negative, something was so. The asker adds them to the moment at which it asked, by its own
 * clock. The relay took the question in later than that, so whatever lay in sockets or stood still
 * meanwhile can only make a confirmation look older than it is; no clocks in step are needed.
 */
#pragma once

#include "kernel/decisions/Time.h"
#include "peer/Messages.h"
#include "store/ObjectHistory.h"

#include <compare>
#include <optional>
#include <string>

namespace limereel::peer {

/** The question. */
struct FeedAsk
{
    std::uint64_t question = 0; ///< By chance; the answer repeats it.
    std::string kind;           ///< Of the objects.
    std::uint64_t at = 0;       ///< The revision that the asker knows; 0: none.
    std::uint32_t holdMs = 0;   ///< How long the relay may wait for news.
    bool largeToo = false;      ///< Send large objects as well: the asker can't reach the store.

    auto operator<=>(const FeedAsk &) const = default;
};

/** The answer. */
struct FeedAnswer
{
    std::uint64_t question = 0;
    bool lost = false; ///< The relay knows nothing, or has lost the store.
    std::uint64_t at = 0;
    bool whole = false;
    std::vector<store::KeptObject> objects;

    /** When nothing newer was in the store than what the relay knows. */
    std::optional<std::int64_t> confirmedMs;

    /** When the earliest of these changes was told by the store. */
    std::optional<std::int64_t> toldMs;

    /** When the store last failed to answer. */
    std::optional<std::int64_t> storeFailedMs;

    auto operator<=>(const FeedAnswer &) const = default;
};

/** \a when as seen from a question that was taken in at \a question, rounded towards the past. */
std::int64_t sinceQuestion(kernel::Instant question, kernel::Instant when);

/** The same moment, or an earlier one, for the asker, who \a asked by its own clock. */
kernel::Instant forAsker(kernel::Instant asked, std::int64_t sinceQuestionMs);

/** The MessagePack forms. */
Bytes encode(const FeedAsk &ask);
Bytes encode(const FeedAnswer &answer);

/** The form of an answer's objects, which is the same for all who stand at the same revision. */
Bytes encodeObjects(const std::vector<store::KeptObject> &objects);

/** The form of \a answer with \a objects, already encoded, in place of its own ones. */
Bytes encode(const FeedAnswer &answer, std::span<const std::uint8_t> objects);

/** The messages in \a bytes; nothing if there is none. Never throw, whatever the bytes. */
std::optional<FeedAsk> decodeFeedAsk(std::span<const std::uint8_t> bytes);
std::optional<FeedAnswer> decodeFeedAnswer(std::span<const std::uint8_t> bytes);

} // namespace limereel::peer
