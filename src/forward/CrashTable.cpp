#include "forward/CrashTable.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace limereel::forward {

namespace {

// More incarnations than this add no information.
constexpr std::size_t MaxServers = 8;
// Bounds what cleared records make up for, so that a request that crashes servers only now and then
// is stopped in the end.
constexpr std::uint32_t MaxForgivenTrials = 8;

bool isCleared(const CrashRecord &record)
{
    return record.servers.empty() && record.failedTrials == 0;
}

} // namespace

const char *text(SendRestriction restriction)
{
    switch (restriction) {
    case SendRestriction::Free:
        return "free";
    case SendRestriction::Alone:
        return "alone";
    case SendRestriction::Stopped:
        break;
    }
    return "stopped";
}

std::uint32_t netFailedTrials(const CrashRecord &record)
{
    const std::uint32_t forgiven = std::min(record.round, MaxForgivenTrials);
    return record.failedTrials > forgiven ? record.failedTrials - forgiven : 0;
}

CrashRecord mergedRecord(const CrashRecord &one, const CrashRecord &other)
{
    if (one.round != other.round) {
        return one.round > other.round ? one : other;
    }
    CrashRecord both = one;
    both.servers.clear();
    std::ranges::set_union(one.servers, other.servers, std::back_inserter(both.servers));
    // The smallest identifiers are kept, so that the order of merging doesn't matter.
    both.servers.resize(std::min(both.servers.size(), MaxServers));
    both.failedTrials = std::max(one.failedTrials, other.failedTrials);
    return both;
}

kernel::Duration CrashTable::hold(std::uint32_t times) const
{
    if (times >= policy_.maxFailedTrials) {
        return policy_.remembered;
    }
    kernel::Duration held = policy_.firstBlock;
    for (std::uint32_t time = 1; time < times; ++time) {
        held *= policy_.blockGrowth;
    }
    return std::min(held, policy_.remembered);
}

SendRestriction CrashTable::restriction(const Entry &entry, kernel::Instant now) const
{
    const CrashRecord &record = entry.record;
    if (const std::uint32_t times = netFailedTrials(record); times > 0) {
        const bool held = times >= policy_.maxFailedTrials || now - entry.stoppedAt < hold(times);
        return held ? SendRestriction::Stopped : SendRestriction::Alone;
    }
    return record.servers.size() >= policy_.crashesBeforeAlone ? SendRestriction::Alone
                                                               : SendRestriction::Free;
}

SendRestriction CrashTable::restriction(const RequestIdentity &request, kernel::Instant now)
{
    const auto it = entries_.find(request);
    if (it == entries_.end()) {
        return SendRestriction::Free;
    }
    if (!isCleared(it->second.record)) {
        it->second.changed = now;
    }
    return restriction(it->second, now);
}

kernel::Duration CrashTable::stoppedFor(const RequestIdentity &request, kernel::Instant now) const
{
    const auto it = entries_.find(request);
    if (it == entries_.end() || restriction(it->second, now) != SendRestriction::Stopped) {
        return kernel::Duration::zero();
    }
    const kernel::Instant until = it->second.stoppedAt + hold(netFailedTrials(it->second.record));
    return std::max<kernel::Duration>(until - now, 1s);
}

CrashTable::Entry &CrashTable::entry(const RequestIdentity &request)
{
    const auto it = entries_.find(request);
    if (it != entries_.end()) {
        return it->second;
    }
    evictLeastRelevant();
    ++shapes_[request.shape];
    Entry &made = entries_[request];
    made.record.request = request;
    return made;
}

// Drops the record with the fewest crashes, and of those the oldest, so that a flood of other
// requests doesn't push out the record of a stopped one.
void CrashTable::evictLeastRelevant()
{
    if (entries_.size() < policy_.records) {
        return;
    }
    const auto relevance = [](const auto &item) {
        const Entry &entry = item.second;
        return std::tuple(netFailedTrials(entry.record), entry.record.servers.size(),
                          entry.changed);
    };
    const auto least = std::ranges::min_element(entries_, {}, relevance);
    const RequestIdentity request = least->first;
    drop(request);
}

void CrashTable::drop(const RequestIdentity &request)
{
    const auto shape = shapes_.find(request.shape);
    if (--shape->second == 0) {
        shapes_.erase(shape);
    }
    entries_.erase(request);
}

bool CrashTable::change(const CrashRecord &record, kernel::Instant now)
{
    if (this->record(record.request) == record) {
        return false;
    }
    Entry &known = entry(record.request);
    if (record.failedTrials > known.record.failedTrials || record.round > known.record.round) {
        known.stoppedAt = now;
    }
    known.record = record;
    known.changed = now;
    known.shared = known.shared || restriction(known, now) != SendRestriction::Free;
    return true;
}

bool CrashTable::noteCrash(const RequestIdentity &request, std::uint64_t server, bool alone,
                           kernel::Instant now)
{
    CrashRecord seen = record(request);
    if (std::ranges::binary_search(seen.servers, server)) {
        return false;
    }
    seen.servers.insert(std::ranges::lower_bound(seen.servers, server), server);
    seen.servers.resize(std::min(seen.servers.size(), MaxServers));
    seen.failedTrials += alone ? 1 : 0;
    return change(seen, now);
}

bool CrashTable::forget(const RequestIdentity &request, kernel::Instant now)
{
    const CrashRecord known = record(request);
    if (isCleared(known)) {
        return false;
    }
    return change({request, known.round + 1, {}, 0}, now);
}

bool CrashTable::merge(const CrashRecord &received, kernel::Instant now)
{
    return change(mergedRecord(record(received.request), received), now);
}

CrashRecord CrashTable::record(const RequestIdentity &request) const
{
    const auto it = entries_.find(request);
    return it == entries_.end() ? CrashRecord{.request = request} : it->second.record;
}

std::vector<CrashRecord> CrashTable::shared() const
{
    std::vector<CrashRecord> records;
    for (const auto &[request, entry] : entries_) {
        if (entry.shared) {
            records.push_back(entry.record);
        }
    }
    return records;
}

bool CrashTable::isShared(const RequestIdentity &request) const
{
    const auto it = entries_.find(request);
    return it != entries_.end() && it->second.shared;
}

void CrashTable::expire(kernel::Instant now)
{
    std::vector<RequestIdentity> old;
    for (const auto &[request, entry] : entries_) {
        const kernel::Duration kept =
                isCleared(entry.record) ? policy_.clearedKept : policy_.remembered;
        if (now - entry.changed >= kept) {
            old.push_back(request);
        }
    }
    for (const RequestIdentity &request : old) {
        drop(request);
    }
}

} // namespace limereel::forward
