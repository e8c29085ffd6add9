#include "store/ObjectHistory.h"

#include <algorithm>
#include <set>

namespace limereel::store {

using kernel::Instant;

namespace {

// Beyond it those that ask from long ago get everything.
constexpr std::size_t MostGone = 1024;
constexpr std::size_t MostGaps = 16;

} // namespace

void ObjectHistory::replace(std::vector<KeptObject> objects, std::uint64_t at, Instant told)
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
            std::string name = object.name;
            entries_[std::move(name)] = {std::move(object), at, told};
        }
    }
    for (auto &[name, entry] : entries_) {
        if (!entry.object.gone && !listed.contains(name)) {
            entry = {{.name = name, .revision = at, .gone = true}, at, told};
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

void ObjectHistory::change(std::vector<KeptObject> objects, std::uint64_t at, Instant told)
{
    at_ = std::max(at, at_.value_or(0));
    for (KeptObject &object : objects) {
        std::string name = object.name;
        entries_[std::move(name)] = {std::move(object), *at_, told};
    }
    forgetOldest();
}

void ObjectHistory::forgetOldest()
{
    if (gaps_.size() > MostGaps) {
        floor_ = std::max(floor_, gaps_.front().to);
        gaps_.erase(gaps_.begin());
    }
    std::vector<std::uint64_t> gone;
    for (const auto &[name, entry] : entries_) {
        if (entry.object.gone) {
            gone.push_back(entry.mark);
        }
    }
    if (gone.size() <= MostGone) {
        return;
    }
    const auto middle = gone.begin() + static_cast<std::ptrdiff_t>(gone.size() / 2);
    std::ranges::nth_element(gone, middle);
    floor_ = std::max(floor_, *middle);
    std::erase_if(entries_, [this](const auto &entry) {
        return entry.second.object.gone && entry.second.mark <= floor_;
    });
}

bool ObjectHistory::hasNewsSince(std::uint64_t at) const
{
    return at_ && *at_ > at;
}

bool ObjectHistory::canTellSince(std::uint64_t at) const
{
    const bool inGap = std::ranges::any_of(
            gaps_, [at](const Gap &gap) { return gap.from < at && at < gap.to; });
    return at >= floor_ && !inGap;
}

FeedNews ObjectHistory::since(std::uint64_t at) const
{
    FeedNews news;
    news.at = at_.value_or(0);
    if (at >= news.at) {
        return news;
    }
    news.whole = !canTellSince(at);
    for (const auto &[name, entry] : entries_) {
        if (news.whole ? !entry.object.gone : entry.mark > at) {
            news.objects.push_back(forAsker(entry.object, news.whole ? at : 0));
            news.told = std::min(news.told.value_or(entry.told), entry.told);
        }
    }
    return news;
}

// Boxes that listed for themselves as the fleet started, and then ask a relay that listed a moment
// later, need its whole list for what went in between. With contents that is 750 kB of 3,000
// servers for each of a hundred boxes, names alone are a tenth.
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
