/** \file
 * The records of all listed servers, found by what a choice needs: by id, hash, service and hall,
 * and those that are tracked. No operation takes notably longer for a large fleet than for a small
 * one.
 */
#pragma once

#include "forward/ServerOrder.h"
#include "forward/ServerRecord.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace limereel::forward {

/** The servers of one service. */
struct ServiceServers
{
    RendezvousTable table; ///< All of them, including those that are leaving.
    /** By hall number, without those that are leaving. */
    std::vector<std::vector<ServerRecord *>> byHall;
    std::uint32_t own = 0; ///< Requests of this box that run at any of them.
};

/** The index of one box. */
class ServerIndex
{
public:
    ServerIndex() = default;
    ServerIndex(const ServerIndex &) = delete;
    ServerIndex &operator=(const ServerIndex &) = delete;

    /** Adds or updates a server. \param since when it was listed, if it is new. */
    void put(const ListedServer &server, kernel::Instant since);
    void remove(const std::string &id);

    const std::map<std::string, ServerRecord> &all() const { return records_; }
    ServerRecord *find(const std::string &id);
    const ServerRecord *find(const std::string &id) const;

    /** The server whose hash has these last 32 bits; nullptr if there is none. */
    const ServerRecord *findShort(std::uint32_t hash) const;

    /** The server with this hash; nullptr if there is none. */
    const ServerRecord *findHash(std::uint64_t hash) const;

    /** The servers of a service; nullptr if none was ever listed. */
    const ServiceServers *service(const std::string &name) const;

    /** The names of the halls, by their numbers. */
    const std::vector<std::string> &halls() const { return halls_; }

    /** Marks \a record as tracked: it may hold more than the listing. */
    void track(ServerRecord &record);

    /** The tracked servers, whose records may hold more than the listing. */
    std::span<ServerRecord *const> tracked() const { return tracked_; }

    /** Stops tracking the records that hold nothing beyond the listing any more. */
    void dropUntracked(kernel::Instant now);

    /** Records that a request of this box begins or ends at \a record. */
    void beginRequest(ServerRecord &record);
    void endRequest(ServerRecord &record);

private:
    HallNumber numberOf(const std::string &hall);
    void link(ServerRecord &record);
    void unlink(ServerRecord &record);

    std::map<std::string, ServerRecord> records_;
    std::unordered_multimap<std::uint32_t, ServerRecord *> byShortHash_;
    std::map<std::string, ServiceServers> services_;
    std::vector<std::string> halls_;
    std::vector<ServerRecord *> tracked_;
};

} // namespace limereel::forward
