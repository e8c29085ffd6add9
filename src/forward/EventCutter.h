/** \file
 * Splits a stream of server-sent events into complete events, bytes unchanged, and reads their ids.
 *
 * Only complete events are passed on, so that an answer that breaks off in the middle of an event
 * can be resumed from another server after the last complete one.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::forward {

/** One event as received, including the blank line at its end. */
struct RawEvent
{
    std::string bytes;
    std::optional<std::uint64_t> id;

    auto operator<=>(const RawEvent &) const = default;
};

/** Splits a stream that arrives in parts. */
class EventCutter
{
public:
    /** Adds \a part to the stream. \return the events that it completes. */
    std::vector<RawEvent> take(std::string_view part);

    /** Removes and returns the bytes of the last, incomplete event. */
    std::string takeRest();

private:
    std::string pending_;
};

} // namespace limereel::forward
