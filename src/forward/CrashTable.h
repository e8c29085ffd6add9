/** \file
 * Requests under which backend servers have ended: a request that crashes each server that begins
 * to run it, and comes again, must not go through the fleet server by server.
 *
 * A server's end alone proves nothing: up to its number of slots innocent requests run beside the
 * guilty one. So ends are only counted, each life of a server once, and a request under which a few
 * servers have ended runs alone from then on: one send at a time in the whole fleet. If that send's
 * server ends too, the request is stopped; if it gets a whole answer, all is forgotten. What a
 * storm of crashes does to equal and harmless requests is undone by the first of them that is
 * served, and one that was served so often is stopped only after as many more ends.
 *
 * Records are joined whatever way they come, in any order and any number of times, to the same
 * (a state-based CRDT: Shapiro, Preguica, Baquero and Zawirski 2011).
 */
#pragma once

#include "forward/RequestIdentity.h"
#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace limereel::forward {

/** What is known of one request. */
struct CrashRecord
{
    RequestIdentity request;
    std::uint32_t round = 0; ///< Grows when all is forgotten; earlier rounds say nothing any more.
    std::vector<std::uint64_t> servers; ///< Lives of servers that ended under it, sorted.
    std::uint32_t failedTrials = 0;     ///< Sends alone under which a server ended.

    auto operator<=>(const CrashRecord &) const = default;
};

/** How often the request counts as having ended a server when it ran alone. Each time that all was
 * forgotten as it got a whole answer makes up for one such end: what was served before only ran
 * beside another one, most likely. 0: it isn't stopped. */
std::uint32_t netFailedTrials(const CrashRecord &record);

/** What both know together. Both are of the same request. */
CrashRecord mergedRecord(const CrashRecord &one, const CrashRecord &other);

/** How a request may be sent. */
enum class SendRestriction : std::uint8_t {
    Free,   ///< As any other.
    Alone,  ///< One send at a time in the whole fleet.
    Stopped ///< Not at all.
};

/** The name of \a standing for logs and counters. */
const char *text(SendRestriction restriction);

/** The settings of the book. */
struct CrashPolicy
{
    std::size_t crashesBeforeAlone = 2; ///< Servers that end before the request runs alone.
    kernel::Duration firstBlock = 2min; ///< A stopped request runs alone again after this,
    int blockGrowth = 8;                ///< each further time after so many times as long,
    std::uint32_t maxFailedTrials = 3;  ///< and after so many failed trials not any more.
    kernel::Duration remembered = 24h;  ///< Since a record changed or was asked for.
    kernel::Duration clearedKept = 60s; ///< So long others are told that all is forgotten.
    std::size_t records = 8192;         ///< Then those that say least give way.
};

/** The book of one box. Pure: time is handed in. */
class CrashTable
{
public:
    explicit CrashTable(CrashPolicy policy = {})
        : policy_(policy)
    {
    }

    /** Whether anything is known of a request of this shape. */
    bool concerns(std::uint64_t shape) const { return shapes_.contains(shape); }

    SendRestriction restriction(const RequestIdentity &request, kernel::Instant now);

    /** When a stopped request may run again; the longest time that is remembered if never. */
    kernel::Duration stoppedFor(const RequestIdentity &request, kernel::Instant now) const;

    /** A server ended under the request. \param server the life of it. \param alone it was sent
     * alone. \return whether that is news. */
    bool noteCrash(const RequestIdentity &request, std::uint64_t server, bool alone,
                   kernel::Instant now);

    /** The request was answered, or an operator lifts it: all is forgotten. \return whether there
     * was anything. */
    bool forget(const RequestIdentity &request, kernel::Instant now);

    /** Takes in what another box knows. \return whether that is news. */
    bool merge(const CrashRecord &record, kernel::Instant now);

    /** What is known of the request; an empty record if nothing is. */
    CrashRecord record(const RequestIdentity &request) const;

    /** What all boxes should know: records of requests that don't run freely, or did not until they
     * were forgotten. */
    std::vector<CrashRecord> shared() const;
    bool isShared(const RequestIdentity &request) const;

    /** Drops what is too old. */
    void expire(kernel::Instant now);

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        CrashRecord record;
        bool shared = false;       ///< Other boxes have heard of it.
        kernel::Instant changed;   ///< When it last changed or was asked for.
        kernel::Instant stoppedAt; ///< When its last failed trial was heard of.
    };

    SendRestriction restriction(const Entry &entry, kernel::Instant now) const;
    kernel::Duration hold(std::uint32_t times) const;
    Entry &entry(const RequestIdentity &request);
    void makeRoom();
    void drop(const RequestIdentity &request);
    bool change(const CrashRecord &record, kernel::Instant now);

    CrashPolicy policy_;
    std::unordered_map<RequestIdentity, Entry> entries_;
    std::unordered_map<std::uint64_t, std::size_t> shapes_; ///< Records by shape.
};

} // namespace limereel::forward
