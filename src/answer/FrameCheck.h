/** \file
 * Passes on the frames of one answer, in order and without a gap, and detects whether the answer is
 * complete.
 *
 * An engine numbers its frames and names the request in each. Frames may arrive late, repeatedly or
 * from another request. The caller sees the gap-free sequence from 0 to the end marker, or a cut
 * answer. Frames that are early are held, a bounded number of them, until the gap closes.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace limereel::answer {

/** One frame of a streamed answer. */
struct Frame
{
    std::string request;        ///< The id of the request it answers.
    std::uint64_t sequence = 0; ///< From 0, without gaps.
    std::string text;           ///< The tokens of the frame.
    bool end = false; ///< Whether this is the end marker; its text is then the reason why the
                      ///< answer ended.

    auto operator<=>(const Frame &) const = default;
};

/** What was done with a frame. */
enum class FrameResult : std::uint8_t { Taken, Repeated, Held, Foreign, Overflow, Contradiction };

/** The check of one answer. */
class FrameCheck
{
public:
    /**
     * \param request the only request id that is passed on. \param maxHeld most early frames
     * held.
     */
    FrameCheck(std::string request, std::size_t maxHeld)
        : request_(std::move(request))
        , maxHeld_(maxHeld)
    {
    }

    /** Takes one frame and appends those that are now due to \a due, in order. */
    FrameResult take(Frame frame, std::vector<Frame> &due);

    /** Whether the end marker and every frame before it have arrived. */
    bool whole() const { return whole_; }

    /** The sequence number to resume from; all frames before it have been passed on. */
    std::uint64_t next() const { return next_; }

private:
    std::string request_;
    std::size_t maxHeld_;
    std::uint64_t next_ = 0;
    bool whole_ = false;
    std::map<std::uint64_t, Frame> held_;
};

} // namespace limereel::answer
