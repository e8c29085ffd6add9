/** \file
 * Where the reading of a list in pages stands: behind which name it goes on, and whether it can.
 *
 * The names are those of other writers, and a store may take one for another name than it is. So a
 * page is judged by what it adds, not by what it says of itself.
 */
#pragma once

#include "store/ObjectFormat.h"

#include <set>
#include <string>
#include <vector>

namespace limereel::store {

/** What a page has brought a list to. */
enum class ListProgress : std::uint8_t {
    Reading,  ///< More follows behind ListCursor::after().
    Complete, ///< All objects have been read.
    Stuck     ///< More would follow, and can't be asked for.
};

/** The cursor of one list. Pure. */
class ListCursor
{
public:
    /** The name behind which the next page is asked for; empty for the first page. */
    const std::string &after() const { return after_; }

    /** Number of objects that were read. */
    std::size_t read() const { return names_.size(); }

    /** Takes \a page, and removes from it the objects that an earlier page had. */
    ListProgress take(ObjectPage &page);

    /** The store rejects the question behind after(). The list goes on behind an earlier name of
     * the last page, which then comes once more in part. */
    ListProgress refuse();

private:
    std::string after_;
    std::vector<std::string> lastPage_; ///< Its names up to after().
    int stepsBack_ = 0;                 ///< Names of the last page that were rejected.
    std::set<std::string> names_;       ///< Of the objects that were read.
};

} // namespace limereel::store
