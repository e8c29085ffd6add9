/** \file
 * Cuts a stream of server-sent events into their data, wherever the network has split it.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace limereel::answer {

/** Takes parts of a stream, gives whole events. */
class EventSplitter
{
public:
    /** \param mostBytes of one event; a longer one is an error of the sender. */
    explicit EventSplitter(std::size_t mostBytes)
        : mostBytes_(mostBytes)
    {
    }

    /** Takes the next part; the data of each event that is now whole is appended to \a events.
     * \return false if an event is too long. */
    bool take(std::string_view part, std::vector<std::string> &events);

    /** Whether a part of an event is left over. */
    bool hasPartialEvent() const { return !rest_.empty(); }

private:
    std::size_t mostBytes_;
    std::string rest_;
};

} // namespace limereel::answer
