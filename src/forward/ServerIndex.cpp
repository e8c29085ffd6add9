#include "forward/ServerIndex.h"

#include <algorithm>

namespace limereel::forward {

void ServerIndex::put(const ListedServer &server, kernel::Instant since)
{
    const auto [it, added] = records_.try_emplace(server.id);
    ServerRecord &record = it->second;
    if (added) {
        record.since = since;
    } else if (record.server == server) {
        return;
    } else {
        unlink(record);
    }
    record.server = server;
    record.hash = server.hash();
    record.hall = numberOf(server.hall);
    link(record);
}

void ServerIndex::remove(const std::string &id)
{
    const auto it = records_.find(id);
    if (it == records_.end()) {
        return;
    }
    unlink(it->second);
    if (it->second.tracked) {
        std::erase(tracked_, &it->second);
    }
    records_.erase(it);
}

ServerRecord *ServerIndex::find(const std::string &id)
{
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

const ServerRecord *ServerIndex::find(const std::string &id) const
{
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

const ServerRecord *ServerIndex::findShort(std::uint32_t hash) const
{
    const auto it = byShortHash_.find(hash);
    return it == byShortHash_.end() ? nullptr : it->second;
}

const ServerRecord *ServerIndex::findHash(std::uint64_t hash) const
{
    const auto [first, last] = byShortHash_.equal_range(static_cast<std::uint32_t>(hash));
    const auto it =
            std::find_if(first, last, [&](const auto &item) { return item.second->hash == hash; });
    return it == last ? nullptr : it->second;
}

const ServiceServers *ServerIndex::service(const std::string &name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
}

void ServerIndex::track(ServerRecord &record)
{
    if (!record.tracked) {
        record.tracked = true;
        tracked_.push_back(&record);
    }
}

void ServerIndex::dropUntracked(kernel::Instant now)
{
    std::erase_if(tracked_, [now](ServerRecord *record) {
        record->tracked = !record->hasDefaultState(now);
        return !record->tracked;
    });
}

void ServerIndex::beginRequest(ServerRecord &record)
{
    ++record.own;
    ++services_[record.server.service].own;
    track(record);
}

void ServerIndex::endRequest(ServerRecord &record)
{
    if (record.own > 0) {
        --record.own;
        --services_[record.server.service].own;
    }
}

// Halls are few and numbers are never reused.
HallNumber ServerIndex::numberOf(const std::string &hall)
{
    const auto it = std::ranges::find(halls_, hall);
    const auto number = static_cast<HallNumber>(it - halls_.begin());
    if (it == halls_.end()) {
        halls_.push_back(hall);
    }
    return number;
}

void ServerIndex::link(ServerRecord &record)
{
    ServiceServers &service = services_[record.server.service];
    service.own += record.own;
    service.table.insert(record);
    byShortHash_.emplace(static_cast<std::uint32_t>(record.hash), &record);
    if (record.server.leaving) {
        return;
    }
    if (service.byHall.size() <= record.hall) {
        service.byHall.resize(record.hall + 1);
    }
    auto &accepting = service.byHall[record.hall];
    record.place = accepting.size();
    accepting.push_back(&record);
}

void ServerIndex::unlink(ServerRecord &record)
{
    ServiceServers &service = services_[record.server.service];
    service.own -= record.own;
    service.table.erase(record);
    const auto [first, last] = byShortHash_.equal_range(static_cast<std::uint32_t>(record.hash));
    byShortHash_.erase(
            std::find_if(first, last, [&](const auto &item) { return item.second == &record; }));
    if (record.server.leaving) {
        return;
    }
    // The last record moves to the free position.
    auto &accepting = service.byHall[record.hall];
    accepting[record.place] = accepting.back();
    accepting[record.place]->place = record.place;
    accepting.pop_back();
}

} // namespace limereel::forward
