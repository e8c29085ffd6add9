/** \file
 * Where the reading of a list in pages stands: behind which name it goes on, and whether it can.
 *
 * The names are those of other writers. A store may reject one, fail at it, or take it for another
 * name than it is. So a page is judged by what it adds, not by what it says of itself, and where
 * none comes behind a name, the list goes on behind another one.
 */
#pragma once

#include "store/ObjectFormat.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limereel::store {

/** What the last answer has brought a list to. */
enum class ListProgress : std::uint8_t {
    Reading,  ///< More follows behind ListCursor::after().
    Complete, ///< All objects have been read.
    Partial   ///< No more can be asked for; there may be objects that weren't read.
};

/** Why a page didn't come. */
enum class PageFault : std::uint8_t {
    Rejected, ///< The store rejects the question, and would do so again.
    Busy,     ///< The store takes no calls now.
    Failed    ///< Anything else; the next try may bring it.
};

/** The fault of a page in whose place the store answers with \a status. */
PageFault pageFault(int status);

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

    /** Whether \a fault is more likely due to the name behind which was asked than to the state of
     * the store. Another name can then be tried at once. */
    bool blamesName(PageFault fault) const;

    /** The page behind after() didn't come. The list goes on behind an earlier name of the last
     * page, which then comes once more in part; without one, it goes on behind a name made up to
     * follow the last one, and is Partial at best. Where the name isn't blamed, it takes two
     * failures, and a busy store is asked for the same page again, as it is for the first page. */
    ListProgress fail(PageFault fault);

private:
    ListProgress stepBack();
    ListProgress leap();

    std::string after_;
    std::string end_;                   ///< The last name of the last page that added any.
    std::vector<std::string> lastPage_; ///< Names of the last page that added any, up to after().
    std::size_t stride_ = 1;            ///< By how many names the next step goes back.
    int failures_ = 0;                  ///< Since a page added any object.
    bool leapt_ = false;                ///< after() is a name that was made up.
    bool mayLack_ = false;              ///< Objects may have been passed over.
    std::set<std::string> names_;       ///< Of the objects that were read.
};

/** A name of which no character needs an escape in a target and which follows \a name in the order
 * of bytes, with few names between; nullopt if there is none, or if \a name is such a name. */
std::optional<std::string> plainNameBehind(const std::string &name);

} // namespace limereel::store
