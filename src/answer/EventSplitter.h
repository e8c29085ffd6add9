/** \file
 * Splits a stream of server-sent events into the data of each event, however the network divided
 * the stream.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace limereel::answer {

/** Takes parts of a stream and returns whole events. */
class EventSplitter
{
public:
    /** \param maxBytes the largest size of an event; a longer one is an error of the sender. */
    explicit EventSplitter(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /**
     * Takes the next part and appends the data of each event that is now complete to \a events.
     * \return false if an event is too long.
     */
    bool take(std::string_view part, std::vector<std::string> &events);

    /** Whether part of an event is buffered. */
    bool hasPartialEvent() const { return !buffer_.empty(); }

private:
    std::size_t maxBytes_;
    std::string buffer_;
};

} // namespace limereel::answer
