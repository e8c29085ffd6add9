/** \file
 * Splits a stream of server-sent events into complete events, bytes unchanged, and reads their ids.
 *
 * Only complete events are passed on, so that an answer that breaks off in the middle of an event
 * can be resumed from another server after the last complete one. Lines end with LF, CR LF or CR;
 * an event ends with its blank line.
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
    bool hasData = false; ///< Not just a comment, or fields that concern the connection.

    auto operator<=>(const RawEvent &) const = default;
};

/** Splits a stream that arrives in parts. */
class EventCutter
{
public:
    /** Adds \a part to the stream. \return the events that it completes. */
    std::vector<RawEvent> take(std::string_view part);

    /** Whether the stream has stopped inside an event, or inside a line. */
    bool insideEvent() const;

    /** How many bytes belong to no complete event. */
    std::size_t pendingBytes() const { return pending_.size(); }

    /** Removes and returns the bytes that belong to no complete event. */
    std::string takeRest();

private:
    std::string pending_;
    std::size_t lineBegin_ = 0;  ///< Of the line in \c pending_ that isn't complete.
    std::size_t searchFrom_ = 0; ///< No line ends in \c pending_ between lineBegin_ and here.
};

} // namespace limereel::forward
