/** \file
 * Chooses the box through which a request is sent whose own box reaches none of its servers: a
 * one-hop detour (Savage and others, "Detour: informed Internet routing and transport", 1999).
 *
 * A box of the same hall is preferred, as bytes between halls are expensive, until it has several
 * requests more than one elsewhere. A box that failed to help isn't asked again for a while, each
 * time longer.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace limereel::forward {

/** A box that may be asked. */
struct DetourCandidate
{
    std::uint64_t box = 0;
    bool sameHall = false;

    auto operator<=>(const DetourCandidate &) const = default;
};

/** What one box knows of the boxes that it asks. Deterministic: callers pass in the current time
 * and the random generator. */
class DetourTable
{
public:
    /** Requests that a box of the same hall has more before another hall is used. */
    static constexpr std::size_t OtherHallCost = 8;
    static constexpr kernel::Duration FirstDoubt = 100ms;
    static constexpr kernel::Duration LongestDoubt = 2s;

    /** The less loaded of two random boxes of the same hall and two of others; nothing if none may
     * be asked now. \param tried boxes that this request has asked already. */
    std::optional<std::uint64_t> choose(const std::vector<DetourCandidate> &candidates,
                                        const std::vector<std::uint64_t> &tried,
                                        kernel::Instant now, std::mt19937_64 &random) const;

    /** Records that a request goes through \a box, or has ended there. */
    void begin(std::uint64_t box) { ++boxes_[box].inFlight; }
    void end(std::uint64_t box);

    void noteServed(std::uint64_t box);
    void noteFailed(std::uint64_t box, kernel::Instant now);

    /** Records that \a box has another configuration than this one. It is asked last for a while:
     * either box may have the newer one at any moment. */
    void noteOtherConfiguration(std::uint64_t box, kernel::Instant now);

    /** Forgets boxes about which nothing is left to know. */
    void expire(kernel::Instant now);

private:
    struct Asked
    {
        std::size_t inFlight = 0;
        std::uint32_t failuresInARow = 0;
        kernel::Instant doubtedUntil;
        bool otherConfiguration = false; ///< Why it is doubted.
    };

    std::optional<std::uint64_t> leastLoaded(const std::vector<DetourCandidate> &candidates,
                                             std::mt19937_64 &random) const;
    bool isDoubted(std::uint64_t box, kernel::Instant now) const;
    bool hasOtherConfiguration(std::uint64_t box) const;
    std::size_t inFlight(std::uint64_t box) const;

    std::map<std::uint64_t, Asked> boxes_;
};

} // namespace limereel::forward
