/** \file
 * Which backend server began each stream that its caller may still take up, as this box was told or
 * saw it. A bounded number of streams is kept; what doesn't fit isn't known, and a stream that
 * isn't known isn't taken up.
 */
#pragma once

#include "forward/PartsDigest.h"
#include "forward/StreamOrigin.h"
#include "kernel/decisions/Time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string_view>

namespace limereel::forward {

/** Identifies the attempt of a caller that brought a stream's first event. */
using StreamKey = Digest;

/** The key of the attempt \a id of a caller of \a organisation. */
StreamKey streamKeyOf(std::string_view organisation, std::string_view id);

/** What is known of a stream. */
struct StreamRecord
{
    StreamOrigin origin;
    bool contradicted = false; ///< Streams of two versions have this key.
    kernel::Instant until;     ///< When it is forgotten.

    auto operator<=>(const StreamRecord &) const = default;
};

/** The streams known to one box. Deterministic: callers pass in the current time. */
class StreamTable
{
public:
    static constexpr std::size_t MaxRecords = 32768;

    enum class Noted : std::uint8_t { Added, Known, Contradicted, Full };

    /** Records that \a origin began the stream, to be kept until \a until at least. */
    Noted note(const StreamKey &key, const StreamOrigin &origin, kernel::Instant until);

    /** The record of a stream; nullptr if there is none, or none any more. */
    const StreamRecord *find(const StreamKey &key, kernel::Instant now) const;

    void forEach(const std::function<void(const StreamKey &, const StreamRecord &)> &visit) const;

    /** Forgets what has expired. */
    void expire(kernel::Instant now);

    std::size_t size() const { return records_.size(); }

private:
    std::map<StreamKey, StreamRecord> records_;
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

} // namespace limereel::forward
