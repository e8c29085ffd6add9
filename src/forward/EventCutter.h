/** \file
 * Cuts a stream of server-sent events into whole events, bytes unchanged, and reads their ids.
 *
 * Only whole events are passed on, so an answer that breaks off in the middle of one can go on
 * elsewhere after the last whole one.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limereel::forward {

/** One event as it came, the blank line at its end included. */
struct RawEvent
{
    std::string bytes;
    std::optional<std::uint64_t> id;

    auto operator<=>(const RawEvent &) const = default;
};

/** Takes parts of a stream, gives whole events. */
class EventCutter
{
public:
    /** The events that \a part completes. */
    std::vector<RawEvent> take(std::string_view part);

    /** What is left of an event that has no end yet; takes it out. */
    std::string takeRest();

private:
    std::string rest_;
};

} // namespace limereel::forward
