#include "store/ObjectHistory.h"

#include <algorithm>
#include <set>

namespace limereel::store {

using kernel::Instant;

namespace {

// Above these limits, the oldest history is dropped and boxes at older revisions get all objects.
constexpr std::size_t MaxGone = 1024;
constexpr std::size_t MaxGaps = 16;

} // namespace

void ObjectHistory::replace(std::vector<KeptObject> objects, std::uint64_t at, Instant reportTime)
{
    if (at_ && at <= *at_) {
        return;
    }
    std::set<std::string> listed;
    for (KeptObject &object : objects) {
        listed.insert(object.name);
        const auto known = entries_.find(object.name);
        const bool same = known != entries_.end() && !known->second.object.gone
                          && known->second.object.revision == object.revision;
        if (!same) {
            const std::string name = object.name;
            set(name, {std::move(object), at, reportTime});
        }
    }
    for (auto &[name, entry] : entries_) {
        if (!entry.object.gone && !listed.contains(name)) {
            set(name, {{.name = name, .revision = at, .gone = true}, at, reportTime});
        }
    }
    if (at_) {
        gaps_.push_back({*at_, at});
    } else {
        floor_ = at;
    }
    at_ = at;
    forgetOldest();
}

void ObjectHistory::change(std::vector<KeptObject> objects, std::uint64_t at, Instant reportTime)
{
    at_ = std::max(at, at_.value_or(0));
    for (KeptObject &object : objects) {
        const std::string name = object.name;
        set(name, {std::move(object), *at_, reportTime});
    }
    forgetOldest();
}

void ObjectHistory::set(const std::string &name, Entry entry)
{
    const auto [position, added] = entries_.try_emplace(name);
    Entry &known = position->second;
    if (!added) {
        byMark_.erase({known.mark, &position->first});
        gone_ -= known.object.gone ? 1 : 0;
    }
    known = std::move(entry);
    byMark_.emplace(known.mark, &position->first);
    gone_ += known.object.gone ? 1 : 0;
}

void ObjectHistory::forgetOldest()
{
    if (gaps_.size() > MaxGaps) {
        floor_ = std::max(floor_, gaps_.front().to);
        gaps_.erase(gaps_.begin());
    }
    if (gone_ <= MaxGone) {
        return;
    }
    std::vector<std::uint64_t> gone;
    for (const auto &[name, entry] : entries_) {
        if (entry.object.gone) {
            gone.push_back(entry.mark);
        }
    }
    const auto middle = gone.begin() + static_cast<std::ptrdiff_t>(gone.size() / 2);
    std::ranges::nth_element(gone, middle);
    floor_ = std::max(floor_, *middle);
    std::erase_if(entries_, [this](const auto &item) {
        const auto &[name, entry] = item;
        const bool forgotten = entry.object.gone && entry.mark <= floor_;
        if (forgotten) {
            byMark_.erase({entry.mark, &name});
            --gone_;
        }
        return forgotten;
    });
}

bool ObjectHistory::hasChangesSince(std::uint64_t at) const
{
    return at_ && *at_ > at;
}

bool ObjectHistory::hasHistorySince(std::uint64_t at) const
{
    const bool inGap = std::ranges::any_of(
            gaps_, [at](const Gap &gap) { return gap.from < at && at < gap.to; });
    return at >= floor_ && !inGap;
}

FeedUpdate ObjectHistory::since(std::uint64_t at) const
{
    FeedUpdate update;
    update.at = at_.value_or(0);
    if (at >= update.at) {
        return update;
    }
    update.whole = !hasHistorySince(at);
    const auto add = [&](const Entry &entry, std::uint64_t known) {
        update.objects.push_back(forAsker(entry.object, known));
        update.reportTime =
                std::min(update.reportTime.value_or(entry.reportTime), entry.reportTime);
    };
    if (!update.whole) {
        for (auto position = byMark_.lower_bound({at + 1, nullptr}); position != byMark_.end();
             ++position) {
            add(entries_.at(*position->second), 0);
        }
        return update;
    }
    for (const auto &[name, entry] : entries_) {
        if (!entry.object.gone) {
            add(entry, at);
        }
    }
    return update;
}

// Boxes that read the list themselves when the fleet started, and then ask a relay that read it a
// moment later, get its whole list. With contents this is 750 kB for 3,000 servers, for each of a
// hundred boxes; the names alone are a tenth of that.
KeptObject ObjectHistory::forAsker(const KeptObject &object, std::uint64_t at)
{
    if (object.revision > at) {
        return object;
    }
    KeptObject named{.name = object.name, .revision = object.revision};
    named.unchanged = true;
    return named;
}

std::optional<MergedList> ObjectHistory::merge(std::vector<KeptObject> whole) const
{
    MergedList merged;
    std::set<std::string> listed;
    for (KeptObject &object : whole) {
        listed.insert(object.name);
        const auto known = entries_.find(object.name);
        const bool alive = known != entries_.end() && !known->second.object.gone;
        const bool same = alive && known->second.object.revision == object.revision;
        if (object.unchanged && !same) {
            return std::nullopt;
        }
        if (same) {
            merged.all.push_back(known->second.object);
        } else {
            merged.changes.push_back(object);
            merged.all.push_back(std::move(object));
        }
    }
    for (const auto &[name, entry] : entries_) {
        if (!entry.object.gone && !listed.contains(name)) {
            merged.changes.push_back({.name = name, .revision = at_.value_or(0), .gone = true});
        }
    }
    return merged;
}

} // namespace limereel::store
