/** \file
 * The objects of one kind as a box knows them, kept so that it can pass them on to other boxes:
 * either the changes since a revision, or all objects.
 *
 * A change is marked with the revision up to which the store's answer led, not with its own. A box
 * that asks from a revision in between may receive a change twice, but never misses one. A list
 * doesn't say which revisions between the previous one and its own changed what; a box that asks
 * from one of these gets all objects.
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

/** An object with its content as JSON text. */
struct KeptObject
{
    std::string name;
    std::uint64_t revision = 0;
    bool gone = false;
    bool large = false;     ///< Its content isn't kept; it has to be read from the store.
    std::string text;       ///< The content as JSON.
    bool unchanged = false; ///< In updates: content omitted, the asker has this revision.

    auto operator<=>(const KeptObject &) const = default;
};

/** The changes that a box with an earlier revision lacks. */
struct FeedUpdate
{
    std::uint64_t at = 0; ///< Revision that the update leads to.
    bool whole = false;   ///< Contains all objects; an object not named no longer exists.
    std::vector<KeptObject> objects;
    std::optional<kernel::Instant> reportTime; ///< When the store reported the earliest change.
};

/** A whole list received from a relay, merged with the objects known before. */
struct MergedList
{
    std::vector<KeptObject> all;     ///< The list with the omitted contents filled in.
    std::vector<KeptObject> changes; ///< New or changed objects, and removed ones as gone.
};

/** The history. Does no I/O and reads no clock: times are passed in. */
class ObjectHistory
{
public:
    ObjectHistory() = default;
    ObjectHistory(const ObjectHistory &) = delete;
    ObjectHistory(ObjectHistory &&) = default;
    ObjectHistory &operator=(const ObjectHistory &) = delete;
    ObjectHistory &operator=(ObjectHistory &&) = default;
    ~ObjectHistory() = default;

    /** Replaces all objects by a whole list read at the revision \a at. */
    void replace(std::vector<KeptObject> objects, std::uint64_t at, kernel::Instant reportTime);

    /** Applies changes that lead to the revision \a at; \a objects are in their new state. */
    void change(std::vector<KeptObject> objects, std::uint64_t at, kernel::Instant reportTime);

    /** The latest known revision; nullopt before the first list. */
    std::optional<std::uint64_t> at() const { return at_; }

    /** Number of existing objects. */
    std::size_t objects() const { return entries_.size() - gone_; }

    /** Whether a box at revision \a at lacks changes. */
    bool hasChangesSince(std::uint64_t at) const;

    /** The changes that a box at revision \a at lacks; \a at is 0 for a box that knows nothing.
     * Without objects if \a at is not older than the known revision. Call only once a revision is
     * known. */
    FeedUpdate since(std::uint64_t at) const;

    /** Merges a whole list, sent for the revision known here, with the known objects. Nullopt if it
     * omits contents that aren't known here: then the caller has to ask for everything. */
    std::optional<MergedList> merge(std::vector<KeptObject> whole) const;

private:
    struct Entry
    {
        KeptObject object;
        std::uint64_t mark = 0; ///< A box at this revision or later knows the entry.
        kernel::Instant reportTime;
    };

    /** Range of revisions skipped by a list, ends not included. */
    struct Gap
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
    };

    void set(const std::string &name, Entry entry);
    static KeptObject forAsker(const KeptObject &object, std::uint64_t at);
    bool hasHistorySince(std::uint64_t at) const;
    void forgetOldest();

    std::optional<std::uint64_t> at_;
    std::uint64_t floor_ = 0;              ///< Boxes at older revisions get all objects.
    std::map<std::string, Entry> entries_; ///< Including removed objects.
    std::size_t gone_ = 0;                 ///< Number of removed objects in entries_.
    /** The entries ordered by mark, so that the changes since a revision are found without a scan
     * of all entries: the whole hall asks a relay for each change. Points to the keys of entries_.
     */
    std::set<std::pair<std::uint64_t, const std::string *>> byMark_;
    std::vector<Gap> gaps_;
};

} // namespace limereel::store
