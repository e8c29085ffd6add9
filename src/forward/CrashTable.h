/** \file
 * Records of the features (CrashFeatures.h) of requests during which backend servers crashed.
 * Requests that crash every server that runs them, and that callers send again and again, must not
 * take down the fleet server by server.
 *
 * One crash proves nothing about a feature: as many requests run on a server at a time as it has
 * slots, and only one feature of one of them need have caused the crash. So crashes are only
 * counted, once for each server incarnation. Requests with a feature that a few crashes have in
 * common may from then on run only alone: one send at a time in the whole fleet. If the server
 * crashes during that send too, they are stopped; if the send gets a complete answer, the record is
 * cleared. A wave of crashes may thus restrict requests that didn't cause them, but the first
 * complete answer lifts the restriction. A feature whose record was cleared several times is
 * stopped only after as many additional crashes.
 *
 * A request is stopped only for crashes that no feature of other requests explains as well: each
 * crash is a positive group test of all features that weren't cleared since, and a feature is to
 * blame if it is all that is left (DD, and SCOMP's preference for what explains more: Aldridge,
 * Baldassini and Johnson 2014). Two features that always come together are stopped together, and a
 * request with only one of them may still be tried.
 *
 * Records can be merged in any order and any number of times with the same result (a state-based
 * CRDT: Shapiro, Preguica, Baquero and Zawirski 2011).
 */
#pragma once

#include "forward/CrashFeatures.h"
#include "forward/RequestIdentity.h"
#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace limereel::forward {

/** The crashes recorded for one feature of requests. */
struct CrashRecord
{
    RequestIdentity request; ///< The feature's identity.
    /** Incremented when the record is cleared; records of earlier rounds are void. */
    std::uint32_t round = 0;
    std::vector<std::uint64_t> servers; ///< Incarnations that crashed while they ran it, sorted.
    std::uint32_t failedTrials = 0;     ///< Crashes during a send alone.

    auto operator<=>(const CrashRecord &) const = default;
};

/** The crashes during sends alone that count against the request. Each time that its record was
 * cleared, because it got a complete answer, makes up for one of them: most likely those crashes
 * were caused by another request on the same server. 0: the request isn't stopped. */
std::uint32_t netFailedTrials(const CrashRecord &record);

/** The merged record. Both records belong to the same request. */
CrashRecord mergedRecord(const CrashRecord &one, const CrashRecord &other);

/** How a request may be sent, given the crashes recorded for it. */
enum class SendRestriction : std::uint8_t {
    Free,   ///< Without restriction.
    Alone,  ///< One send at a time in the whole fleet.
    Stopped ///< Not at all.
};

/** The name of \a restriction for logs and counters. */
const char *text(SendRestriction restriction);

/** How a request may be sent, given the crashes recorded for all its features. */
struct SendVerdict
{
    SendRestriction restriction = SendRestriction::Free;
    std::size_t place = 0;         ///< Of the feature that restricts it most; see CrashFeature.
    kernel::Duration stoppedFor{}; ///< If it is stopped: until it may run again.
    kernel::Duration waits{};      ///< If it runs alone: until it may be tried.
    std::size_t crashes = 0;       ///< Of that feature.

    auto operator<=>(const SendVerdict &) const = default;
};

/** The settings of a crash table. */
struct CrashPolicy
{
    std::size_t crashesBeforeAlone = 2; ///< Crashes after which the request runs only alone.
    /** Crashes, with that of a send alone among them, after which the request is stopped. */
    std::size_t crashesBeforeStop = 3;
    /** For so long after a crash, for each suspected part beyond the first, requests with fewer of
     * them are tried first: their answer may show which of several is to blame. */
    kernel::Duration fewestFirst = 200ms;
    kernel::Duration firstBlock = 2min; ///< How long a request is stopped the first time.
    /** The same of requests with a part: many that differ in all else are stopped with it. */
    kernel::Duration firstPartBlock = 10s;
    int blockGrowth = 8; ///< Each further time it is stopped this many times as long.
    /** Crashes during sends alone after which the request stays stopped. */
    std::uint32_t maxFailedTrials = 3;
    /** How long a record is kept after it last changed or was looked up. */
    kernel::Duration remembered = 24h;
    /** How long a cleared record is kept, so that other boxes learn of it. */
    kernel::Duration clearedKept = 60s;
    /** Most records kept; beyond that, those with the fewest crashes are dropped. */
    std::size_t records = 8192;
};

/** The crash records that one box has. Deterministic: callers pass in the current time. */
class CrashTable
{
public:
    explicit CrashTable(CrashPolicy policy = {})
        : policy_(policy)
    {
    }

    /** Whether there is a record of a request with this shape. */
    bool concerns(std::uint64_t shape) const { return shapes_.contains(shape); }

    /** How a request with \a features, and no others that have records, may be sent. */
    SendVerdict verdict(std::span<const CrashFeature> features, kernel::Instant now);

    /** The same for a request with this feature alone. */
    SendRestriction restriction(const RequestIdentity &request, kernel::Instant now);

    /** The time until a stopped request may run again; \c CrashPolicy::remembered if it never may;
     * zero if it isn't stopped. */
    kernel::Duration stoppedFor(const RequestIdentity &request, kernel::Instant now);

    /** The features with the same crashes as \a request, itself included. */
    std::vector<CrashFeature> sameCrashes(const RequestIdentity &request) const;

    /** Whether requests with this feature need a lease each time that they are sent. */
    bool needsLease(const RequestIdentity &request) const;

    /** Whether a send alone of a request with this feature has failed. Such requests are sent one
     * at a time in all, so that two of them don't crash the same server. */
    bool hasFailedTrials(const RequestIdentity &request) const;

    /** Features with no other crashes than those of \a request. */
    std::vector<RequestIdentity> explainedBy(const RequestIdentity &request) const;

    /** Records that a server crashed while it ran the request. \param server the server's
     * incarnation. \param alone whether the request was sent alone. \return whether the record
     * changed. */
    bool noteCrash(const RequestIdentity &request, std::uint64_t server, bool alone,
                   kernel::Instant now);

    /** Clears the record, because the request got a complete answer or an operator lifted the
     * restriction. \return whether there was anything to clear. */
    bool forget(const RequestIdentity &request, kernel::Instant now);

    /** Merges a record of another box. \return whether the own record changed. */
    bool merge(const CrashRecord &record, kernel::Instant now);

    /** The record of the request; an empty one if there is none. */
    CrashRecord record(const RequestIdentity &request) const;

    /** The records that all boxes need: those of requests that are restricted, or were until their
     * record was cleared. */
    std::vector<CrashRecord> shared() const;
    bool isShared(const RequestIdentity &request) const;

    /** Drops records that are too old. */
    void expire(kernel::Instant now);

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        CrashRecord record;
        bool shared = false;       ///< Other boxes have got the record.
        kernel::Instant changed;   ///< When it last changed or was looked up.
        kernel::Instant crashedAt; ///< When this box learned of the last crash.
        kernel::Instant stoppedAt; ///< When this box learned of the last crash during a send alone.
    };

    SendVerdict verdict(const CrashFeature &feature, const Entry &entry,
                        std::span<const CrashFeature> features, kernel::Instant now) const;
    std::size_t unexplainedCrashes(const CrashRecord &record,
                                   std::span<const CrashFeature> features) const;
    bool restricts(const CrashRecord &record) const;
    static std::uint32_t timesStopped(const CrashFeature &feature, const CrashRecord &record);
    kernel::Duration waitForFewer(std::span<const CrashFeature> features,
                                  kernel::Instant now) const;
    void setRecord(Entry &entry, const CrashRecord &record);
    kernel::Duration hold(const CrashFeature &feature, std::uint32_t times) const;
    Entry &entry(const RequestIdentity &request);
    void evictLeastRelevant();
    void drop(const RequestIdentity &request);
    bool change(const CrashRecord &record, kernel::Instant now);

    CrashPolicy policy_;
    std::unordered_map<RequestIdentity, Entry> entries_;
    std::unordered_map<std::uint64_t, std::size_t> shapes_; ///< Number of records, by shape.
    /** The features of requests that a server crashed under, by server incarnation. */
    std::unordered_map<std::uint64_t, std::vector<RequestIdentity>> byServer_;
};

} // namespace limereel::forward
