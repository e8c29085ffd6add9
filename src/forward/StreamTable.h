/** \file
 * Which backend server began each stream that its caller may still take up, as this box was told or
 * saw it. A bounded number of streams is kept; what doesn't fit isn't known, and a stream that
 * isn't known isn't taken up.
 */
#pragma once

#include "forward/PartsDigest.h"
#include "forward/RequestIdentity.h"
#include "forward/StreamOrigin.h"
#include "kernel/decisions/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string_view>

namespace limereel::forward {

/** The ways in which a caller names the stream that it takes up. */
struct StreamId
{
    Digest request; ///< What its request has in common with a repetition of it.
    Digest attempt; ///< Of the attempt that brought its first event.

    auto operator<=>(const StreamId &) const = default;
};

/** The id of a stream that the attempt \a id of a caller of \a organisation began. */
StreamId streamIdOf(const RequestIdentity &request, std::string_view organisation,
                    std::string_view id);

/** What is known of a stream. */
struct StreamRecord
{
    StreamOrigin origin;
    bool contradicted = false; ///< Streams of two versions have the same name.
    bool own = false;          ///< A caller of this box has received it.
    kernel::Instant until;     ///< When it is forgotten.
    bool ended = false;        ///< Its caller has all of it, so it isn't taken up.

    auto operator<=>(const StreamRecord &) const = default;
};

/** The streams known to one box, by attempt and by request. Deterministic: callers pass in the
 * current time. */
class StreamTable
{
public:
    static constexpr std::size_t MaxStreams = 16384;

    enum class Noted : std::uint8_t { Added, Known, Contradicted, Full };

    /** Records that \a origin began the stream, to be kept until \a until at least.
     * \param own whether a caller of this box receives it; else another box has told of it. */
    Noted note(const StreamId &id, const StreamOrigin &origin, kernel::Instant until,
               bool own = false);

    /** Records that the caller of the stream that an attempt began has received all of it. */
    void noteEnded(const Digest &attempt);

    /** The record of the stream that an attempt began; nullptr if there is none, or none any more.
     */
    const StreamRecord *findAttempt(const Digest &attempt, kernel::Instant now) const;

    /** The record of all streams of equal requests; contradicted if not all of them may be
     * continued by the same servers. */
    const StreamRecord *findRequest(const Digest &request, kernel::Instant now) const;

    void forEach(const std::function<void(const StreamId &, const StreamRecord &)> &visit) const;

    /** Forgets what has expired. */
    void expire(kernel::Instant now);

    /** How many streams it knows. */
    std::size_t size() const { return attempts_.size(); }

private:
    struct Attempt
    {
        Digest request;
        StreamRecord record;
    };

    std::map<Digest, Attempt> attempts_;
    std::map<Digest, StreamRecord> requests_;
};

/** What other boxes and this one know of a stream. */
class StreamSources
{
public:
    /** Adds what one source knows; nullptr: nothing. */
    void add(const StreamRecord *record);

    /** Whether two sources agree, or some contradict each other, so that no more are needed. */
    bool settled() const { return contradicted_ || agreeing_ >= SettledBy; }

    bool contradicted() const { return contradicted_; }

    /** The origin that no source contradicts; nothing if none knows one. */
    std::optional<StreamOrigin> origin() const;

private:
    static constexpr int SettledBy = 2;

    std::optional<StreamOrigin> origin_;
    int agreeing_ = 0;
    bool contradicted_ = false;
};

/** Who has answered a question about a stream. */
struct StreamAnswers
{
    std::size_t asked = 0; ///< Other boxes that keep records of the request.
    std::size_t answered = 0;
    bool wholeFleet = false; ///< Whether the boxes that are seen could be all.

    auto operator<=>(const StreamAnswers &) const = default;
};

/**
 * Whether the records of equal requests' streams are those of all of them. A box that is cut off,
 * or was, may know of one and have missed another, which a server of another version began.
 */
bool coversEqualRequests(const StreamAnswers &answers);

} // namespace limereel::forward
