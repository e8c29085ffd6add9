#include "forward/CrashTable.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace limereel::forward {

namespace {

// More lives than this say no more.
constexpr std::size_t MostServers = 8;
// A request that ends servers now and then must be stopped all the same.
constexpr std::uint32_t MostPardons = 8;

bool isEmpty(const CrashRecord &record)
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
    const std::uint32_t pardons = std::min(record.round, MostPardons);
    return record.failedTrials > pardons ? record.failedTrials - pardons : 0;
}

CrashRecord mergedRecord(const CrashRecord &one, const CrashRecord &other)
{
    if (one.round != other.round) {
        return one.round > other.round ? one : other;
    }
    CrashRecord both = one;
    both.servers.clear();
    std::ranges::set_union(one.servers, other.servers, std::back_inserter(both.servers));
    // The least are kept, so that the order of joining doesn't matter.
    both.servers.resize(std::min(both.servers.size(), MostServers));
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
    const auto place = entries_.find(request);
    if (place == entries_.end()) {
        return SendRestriction::Free;
    }
    if (!isEmpty(place->second.record)) {
        place->second.changed = now;
    }
    return restriction(place->second, now);
}

kernel::Duration CrashTable::stoppedFor(const RequestIdentity &request, kernel::Instant now) const
{
    const auto place = entries_.find(request);
    if (place == entries_.end() || restriction(place->second, now) != SendRestriction::Stopped) {
        return kernel::Duration::zero();
    }
    const kernel::Instant until =
            place->second.stoppedAt + hold(netFailedTrials(place->second.record));
    return std::max<kernel::Duration>(until - now, 1s);
}

CrashTable::Entry &CrashTable::entry(const RequestIdentity &request)
{
    const auto place = entries_.find(request);
    if (place != entries_.end()) {
        return place->second;
    }
    makeRoom();
    ++shapes_[request.shape];
    Entry &made = entries_[request];
    made.record.request = request;
    return made;
}

// The one that says least goes: one under which few servers ended, and of those the oldest. So a
// flood of other requests doesn't let a stopped one through.
void CrashTable::makeRoom()
{
    if (entries_.size() < policy_.records) {
        return;
    }
    const auto says = [](const auto &item) {
        const Entry &entry = item.second;
        return std::tuple(netFailedTrials(entry.record), entry.record.servers.size(),
                          entry.changed);
    };
    const auto least = std::ranges::min_element(entries_, {}, says);
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
    seen.servers.resize(std::min(seen.servers.size(), MostServers));
    seen.failedTrials += alone ? 1 : 0;
    return change(seen, now);
}

bool CrashTable::forget(const RequestIdentity &request, kernel::Instant now)
{
    const CrashRecord known = record(request);
    if (isEmpty(known)) {
        return false;
    }
    return change({request, known.round + 1, {}, 0}, now);
}

bool CrashTable::merge(const CrashRecord &told, kernel::Instant now)
{
    return change(mergedRecord(record(told.request), told), now);
}

CrashRecord CrashTable::record(const RequestIdentity &request) const
{
    const auto place = entries_.find(request);
    return place == entries_.end() ? CrashRecord{.request = request} : place->second.record;
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
    const auto place = entries_.find(request);
    return place != entries_.end() && place->second.shared;
}

void CrashTable::expire(kernel::Instant now)
{
    std::vector<RequestIdentity> old;
    for (const auto &[request, entry] : entries_) {
        const kernel::Duration kept =
                isEmpty(entry.record) ? policy_.clearedKept : policy_.remembered;
        if (now - entry.changed >= kept) {
            old.push_back(request);
        }
    }
    for (const RequestIdentity &request : old) {
        drop(request);
    }
}

} // namespace limereel::forward
