/** \file
 * When callers that were refused are to return, and which of them are expected now.
 *
 * Answers callers that all return at once while there is still no room for them. Each refusal
 * reserves room at the first moment at which some comes free that isn't reserved yet. A caller that
 * returns then goes before new ones; one that returns early gains nothing, since its objective
 * counts from its first try. If the schedule is lost with its process, a returning caller is
 * treated as a new one.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>

namespace limereel::admission {

/** The settings of a schedule. */
struct ReturnPolicy
{
    kernel::Duration bucket = 100ms;
    kernel::Duration horizon = 60s;
    kernel::Duration shortest = 100ms; ///< Delay told at least.
    /** Part of the places that come free which may be reserved; the rest is for new callers. */
    double promisedPart = 0.5;
    /** How long after its time a caller is still expected: a new connection to another box takes
     * part of it. */
    kernel::Duration grace = 1s;
    std::size_t most = 4096; ///< Callers remembered.
};

/** A request that was refused before. */
struct Returning
{
    bool asTold = false;         ///< It comes at the time that its caller was told.
    kernel::Instant inTimeUntil; ///< When its first try had to begin to meet the objective.

    auto operator<=>(const Returning &) const = default;
};

/** The schedule for one server. Deterministic: callers pass in the time and the random generator.
 */
class ReturnSchedule
{
public:
    explicit ReturnSchedule(ReturnPolicy policy = {})
        : policy_(policy)
    {
    }

    /** Reserves room for the return of a refused caller. \param identity what the request has in
     * common with its repetition; 0: not known, nothing is reserved. Equal requests of several
     * callers have the same identity, so each call reserves room of its own. \param freedPerSecond
     * places that come free; 0: not known. \param inTimeUntil when the request had to begin to meet
     * its objective. \return the delay to tell, spread by chance within a bucket; the end of the
     * schedule if that has no room left. */
    kernel::Duration promise(std::uint64_t identity, double freedPerSecond,
                             kernel::Instant inTimeUntil, kernel::Instant now,
                             std::mt19937_64 &random);

    /** What is known of the caller of a request with this identity; nothing if none was refused
     * here lately. A caller that comes as it was told is forgotten, so that it goes first only
     * once; the room of one that comes early stays reserved. */
    std::optional<Returning> returns(std::uint64_t identity, kernel::Instant now);

    /** Forgets callers that didn't return. */
    void expire(kernel::Instant now);

    /** Callers that are expected. */
    std::size_t size() const { return callers_.size(); }

private:
    struct Caller
    {
        kernel::Instant due;
        kernel::Instant inTimeUntil;
        bool cameEarly = false; ///< Its early request was recognised; the next one is another's.
    };

    void advance(kernel::Instant now);
    double roomIn(std::int64_t bucket, double perBucket) const;
    void reserve(std::int64_t first, std::int64_t last, double perBucket);

    ReturnPolicy policy_;
    std::deque<double> promised_; ///< Room reserved in each bucket; the first is the current one.
    kernel::Instant firstBucket_; ///< When the first bucket begins.
    std::unordered_multimap<std::uint64_t, Caller> callers_; ///< By identity.
};

} // namespace limereel::admission
