#include "store/FeedPace.h"

#include <algorithm>
#include <cmath>

namespace limereel::store {

using kernel::Duration;

namespace {

// Shorter watches load the store for little gain: it answers within milliseconds.
constexpr Duration ShortestWatch = 200ms;

} // namespace

Duration watchWait(const FeedPace &pace, Duration latency, Duration age)
{
    Duration wait = pace.wait;
    if (pace.confirmWithin > 0s) {
        wait = std::min<Duration>(wait, pace.confirmWithin / 2 - latency);
        // After a change and its pause, less time is left. Without this limit, all boxes refused
        // keys for half a second after each change that came late in their watches.
        wait = std::min<Duration>(wait, pace.confirmWithin - age - latency);
    }
    if (pace.giveUpWithin > 0s) {
        wait = std::min<Duration>(wait, pace.giveUpWithin - answerWait(pace, latency));
    }
    return std::max<Duration>(wait, ShortestWatch);
}

Duration answerWait(const FeedPace &pace, Duration latency)
{
    constexpr int LatencyFactor = 3; ///< An answer may take this many times as long as the last.
    return std::clamp<Duration>(latency * LatencyFactor, pace.answer, pace.longestAnswer);
}

Duration pageWait(const FeedPace &pace, int failures, bool listed)
{
    constexpr int MaxDoublings = 3;
    const Duration longest = pace.answer * (1 << std::clamp(failures, 0, MaxDoublings));
    if (!listed || pace.giveUpWithin == 0s) {
        return longest;
    }
    const Duration probeWait = std::max<Duration>(pace.answer, pace.giveUpWithin / 2);
    return std::min<Duration>(longest, probeWait);
}

FeedPace relayPace(const FeedPace &pace, const RelayBounds &bounds)
{
    // A fifth is left for slow boxes; the rest covers a pause and a watch of the same length.
    const Duration left = bounds.changeKnownWithin * 4 / 5 - pace.answer - RelayAnswer;
    Duration wait = std::min<Duration>(pace.wait, left / 2);
    if (bounds.usableFor > 0s) {
        // Two watches and a held request take three fifths; two fifths are left to find another
        // relay.
        wait = std::min<Duration>(wait, bounds.usableFor / 5);
    }
    FeedPace relaying = pace;
    relaying.wait = std::max<Duration>(wait, ShortestWatch);
    relaying.afterChange = std::min<Duration>(pace.afterChange, relaying.wait);
    return relaying;
}

Duration relayHoldTime(const FeedPace &relaying)
{
    return relaying.wait;
}

Duration maxRelayedAge(Duration usableFor)
{
    return usableFor * 4 / 5;
}

Duration searchTime(const FeedPace &relaying, Duration changeKnownWithin, std::uint64_t box)
{
    constexpr std::uint64_t Steps = 1024;
    constexpr Duration TwoSlowAnswers = 300ms;
    const Duration relayCycle = 2 * relaying.wait + relaying.afterChange + TwoSlowAnswers;
    const Duration least =
            std::clamp<Duration>(relayCycle, changeKnownWithin * 3 / 4, changeKnownWithin * 4 / 5);
    const Duration spread = changeKnownWithin / 10;
    return least + spread * static_cast<std::int64_t>(box % Steps) / std::int64_t{Steps};
}

AskTimes askTimes(Duration hold, std::optional<Duration> left)
{
    if (!left) {
        return {hold, hold + RelayAnswer};
    }
    // Without a least hold a relay with nothing new would be asked again and again.
    const Duration least = std::clamp<Duration>(*left / 2, 0s, hold);
    const Duration held = std::clamp<Duration>(*left - RelayAnswer, least, hold);
    return {held, std::clamp<Duration>(*left, 0s, held + RelayAnswer)};
}

std::size_t minBoxesForRelaying(const FeedPace &alone, const FeedPace &relaying)
{
    constexpr double Relays = 2;
    const double aloneWait = static_cast<double>(alone.wait.count());
    const double relayWait = static_cast<double>(relaying.wait.count());
    return static_cast<std::size_t>(std::ceil(Relays * aloneWait / relayWait)) + 1;
}

} // namespace limereel::store
