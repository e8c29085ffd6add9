#include "forward/CrashTable.h"

#include <algorithm>
#include <iterator>
#include <set>
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

kernel::Duration CrashTable::hold(const CrashFeature &feature, std::uint32_t times) const
{
    if (times >= policy_.maxFailedTrials) {
        return policy_.remembered;
    }
    kernel::Duration held = feature.place == 0 ? policy_.firstBlock : policy_.firstPartBlock;
    for (std::uint32_t time = 1; time < times; ++time) {
        held *= policy_.blockGrowth;
    }
    return std::min(held, policy_.remembered);
}

// Of sends alone with different parts two may fail at the same moment; that stops a part once.
std::uint32_t CrashTable::timesStopped(const CrashFeature &feature, const CrashRecord &record)
{
    const std::uint32_t trials = netFailedTrials(record);
    return feature.place == 0 || trials < 2 ? trials : trials - 1;
}

bool CrashTable::restricts(const CrashRecord &record) const
{
    return record.servers.size() >= policy_.crashesBeforeAlone || netFailedTrials(record) > 0;
}

// The crashes for which a request with \a features is to blame, as no feature of other requests
// that was there explains about as many. One that caused them may still be behind in its count, as
// it began to crash servers later, so after a single failed trial half as many are enough.
std::size_t CrashTable::unexplainedCrashes(const CrashRecord &record,
                                           std::span<const CrashFeature> features) const
{
    const std::size_t crashes = record.servers.size();
    const std::size_t enough = netFailedTrials(record) > 1 ? crashes : crashes / 2 + 1;
    const auto explains = [&](const RequestIdentity &other) {
        const bool own =
                std::ranges::find(features, other, &CrashFeature::identity) != features.end();
        return !own && entries_.at(other).record.servers.size() >= enough;
    };
    return static_cast<std::size_t>(
            std::ranges::count_if(record.servers, [&](std::uint64_t server) {
                return std::ranges::none_of(byServer_.at(server), explains);
            }));
}

SendVerdict CrashTable::verdict(const CrashFeature &feature, const Entry &entry,
                                std::span<const CrashFeature> features, kernel::Instant now) const
{
    const CrashRecord &record = entry.record;
    SendVerdict found;
    found.crashes = record.servers.size();
    if (!restricts(record)) {
        return found;
    }
    found.restriction = SendRestriction::Alone;
    const std::uint32_t times = timesStopped(feature, record);
    if (times == 0 || unexplainedCrashes(record, features) < policy_.crashesBeforeStop) {
        return found;
    }
    const bool forGood = times >= policy_.maxFailedTrials;
    const kernel::Duration since = now - entry.stoppedAt;
    const kernel::Duration held = hold(feature, times);
    if (forGood || since < held) {
        found.restriction = SendRestriction::Stopped;
        found.stoppedFor = std::max<kernel::Duration>(held - since, 1s);
    }
    return found;
}

SendVerdict CrashTable::verdict(std::span<const CrashFeature> features, kernel::Instant now)
{
    SendVerdict worst;
    for (const CrashFeature &feature : features) {
        const auto it = entries_.find(feature.identity);
        if (it == entries_.end() || isCleared(it->second.record)) {
            continue;
        }
        it->second.changed = now;
        SendVerdict found = verdict(feature, it->second, features, now);
        found.place = feature.place;
        if (std::tie(found.restriction, found.stoppedFor, found.crashes)
            > std::tie(worst.restriction, worst.stoppedFor, worst.crashes)) {
            worst = found;
        }
    }
    if (worst.restriction == SendRestriction::Alone) {
        worst.waits = waitForFewer(features, now);
    }
    return worst;
}

kernel::Duration CrashTable::waitForFewer(std::span<const CrashFeature> features,
                                          kernel::Instant now) const
{
    std::set<std::size_t> places;
    kernel::Instant last{};
    for (const CrashFeature &feature : features) {
        if (needsLease(feature.identity)) {
            places.insert(feature.place);
            last = std::max(last, entries_.at(feature.identity).crashedAt);
        }
    }
    if (places.size() < 2) {
        return kernel::Duration::zero();
    }
    const auto more = static_cast<kernel::Duration::rep>(places.size() - 1);
    return std::max<kernel::Duration>(last + more * policy_.fewestFirst - now, 0s);
}

SendRestriction CrashTable::restriction(const RequestIdentity &request, kernel::Instant now)
{
    const CrashFeature feature{request};
    return verdict({&feature, 1}, now).restriction;
}

kernel::Duration CrashTable::stoppedFor(const RequestIdentity &request, kernel::Instant now)
{
    const CrashFeature feature{request};
    return verdict({&feature, 1}, now).stoppedFor;
}

std::vector<CrashFeature> CrashTable::sameCrashes(const RequestIdentity &request) const
{
    std::vector<CrashFeature> same = {{request}};
    const std::vector<std::uint64_t> servers = record(request).servers;
    const auto there = byServer_.find(servers.empty() ? 0 : servers.front());
    if (there != byServer_.end()) {
        for (const RequestIdentity &other : there->second) {
            if (other != request && record(other).servers == servers) {
                same.push_back({other});
            }
        }
    }
    return same;
}

std::vector<RequestIdentity> CrashTable::explainedBy(const RequestIdentity &request) const
{
    std::vector<RequestIdentity> explained;
    const std::vector<std::uint64_t> servers = record(request).servers;
    for (const std::uint64_t server : servers) {
        for (const RequestIdentity &other : byServer_.at(server)) {
            const bool known = std::ranges::find(explained, other) != explained.end();
            if (!known && other != request
                && std::ranges::includes(servers, record(other).servers)) {
                explained.push_back(other);
            }
        }
    }
    return explained;
}

bool CrashTable::hasFailedTrials(const RequestIdentity &request) const
{
    const auto it = entries_.find(request);
    return it != entries_.end() && netFailedTrials(it->second.record) > 0;
}

bool CrashTable::needsLease(const RequestIdentity &request) const
{
    const auto it = entries_.find(request);
    return it != entries_.end() && restricts(it->second.record);
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
    setRecord(entries_.at(request), {.request = request});
    entries_.erase(request);
}

void CrashTable::setRecord(Entry &entry, const CrashRecord &record)
{
    for (const std::uint64_t server : entry.record.servers) {
        const auto known = byServer_.find(server);
        std::erase(known->second, record.request);
        if (known->second.empty()) {
            byServer_.erase(known);
        }
    }
    for (const std::uint64_t server : record.servers) {
        byServer_[server].push_back(record.request);
    }
    entry.record = record;
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
    if (record.servers.size() > known.record.servers.size()) {
        known.crashedAt = now;
    }
    setRecord(known, record);
    known.changed = now;
    known.shared = known.shared || restricts(record);
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
