/** \file
 * The story of one request out of the logs of several boxes.
 */
#pragma once

#include <istream>
#include <string>
#include <vector>

namespace limereel::command {

/** One line of a log that tells of the request. */
struct StoryLine
{
    std::string time;
    std::string box;
    std::string part;
    std::string sentence; ///< With the inputs behind it.

    auto operator<=>(const StoryLine &) const = default;
};

/** The lines of \a log that belong to \a request. What is no line of a log is passed over. */
std::vector<StoryLine> linesOf(const std::string &request, std::istream &log);

} // namespace limereel::command
