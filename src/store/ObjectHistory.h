/** \file
 * The objects of one kind as a box knows them, kept so that it can pass them on to other boxes:
 * what has changed since a revision, or all of them.
 *
 * A change is marked with the revision that the store's answer went on from, not with its own: a
 * box that asks from in between may be told a thing twice, never too little. After a list the
 * revisions between the one before and it can't be told apart; who asks from there gets everything.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limereel::store {

/** An object with its content as text. */
struct KeptObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool gone = false;
    bool large = false;     ///< Its content isn't kept; it has to be read from the store.
    std::string text;       ///< The content as JSON.
    bool unchanged = false; ///< In news: left out, since who asked knows it at this revision.

    auto operator<=>(const KeptObject &) const = default;
};

/** What somebody who knows an earlier revision lacks. */
struct FeedUpdate
{
    std::uint64_t at = 0; ///< What this and all before it makes up.
    bool whole = false;   ///< All objects there are; whatever isn't named is gone.
    std::vector<KeptObject> objects;
    std::optional<kernel::Instant> reportTime; ///< When the earliest of these changes was told.
};

/** What a whole list comes to for somebody who asked for it. */
struct MergedList
{
    std::vector<KeptObject> all;     ///< The list with what was left out filled in.
    std::vector<KeptObject> changes; ///< What is new in it, and what it names no more as gone.
};

/** The history. Pure: time is handed in. */
class ObjectHistory
{
public:
    ObjectHistory() = default;
    ObjectHistory(const ObjectHistory &) = delete;
    ObjectHistory(ObjectHistory &&) = default;
    ObjectHistory &operator=(const ObjectHistory &) = delete;
    ObjectHistory &operator=(ObjectHistory &&) = default;
    ~ObjectHistory() = default;

    /** Takes a whole list that shows the revision \a at. */
    void replace(std::vector<KeptObject> objects, std::uint64_t at, kernel::Instant reportTime);

    /** Takes changes that lead to the revision \a at; objects as they are now. */
    void change(std::vector<KeptObject> objects, std::uint64_t at, kernel::Instant reportTime);

    /** The revision that is known; nothing before the first list. */
    std::optional<std::uint64_t> at() const { return at_; }

    /** How many objects there are. */
    std::size_t objects() const { return entries_.size() - gone_; }

    /** Whether somebody who knows \a at lacks something. */
    bool hasChangesSince(std::uint64_t at) const;

    /** What somebody who knows \a at lacks; \a at 0: somebody who knows nothing. Empty objects if
     * that is more than is known here. To be asked only once something is known. */
    FeedUpdate since(std::uint64_t at) const;

    /** Puts a whole list, sent for what is known here, together with that. Nothing if it leaves out
     * what isn't known: then all has to be asked for. */
    std::optional<MergedList> merge(std::vector<KeptObject> whole) const;

private:
    struct Entry
    {
        KeptObject object;
        std::uint64_t mark = 0; ///< Who knows this revision knows the entry.
        kernel::Instant reportTime;
    };

    /** Revisions that one list has passed over, ends not included. */
    struct Gap
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
    };

    void set(const std::string &name, Entry entry);
    static KeptObject forAsker(const KeptObject &object, std::uint64_t at);
    bool canTellSince(std::uint64_t at) const;
    void forgetOldest();

    std::optional<std::uint64_t> at_;
    std::uint64_t floor_ = 0;              ///< Who knows less gets everything.
    std::map<std::string, Entry> entries_; ///< Gone objects included.
    std::size_t gone_ = 0;                 ///< How many of them are gone.
    /** The entries by their marks, so that what somebody lacks is found without looking at the
     * rest: a relay is asked by its whole hall for each change. Names lie in entries_. */
    std::set<std::pair<std::uint64_t, const std::string *>> byMark_;
    std::vector<Gap> gaps_;
};

} // namespace limereel::store
