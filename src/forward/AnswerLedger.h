/** \file
 * Decides how much of its answers a box holds at once: small ones always, long ones from a common
 * capacity, and the one that has been long for longest always, so that one goes on when all others
 * wait. So no more is held than the capacity and one answer.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace limereel::forward {

/** The bytes that are held of all answers. Deterministic. */
class AnswerLedger
{
public:
    /** What each answer may hold beside the capacity; most answers are shorter. */
    static constexpr std::size_t FreeBytes = std::size_t{16} * 1024;

    explicit AnswerLedger(std::size_t capacity)
        : capacity_(capacity)
    {
    }

    /** The number of a new answer. */
    std::uint64_t begin() { return ++last_; }

    /** Whether \a answer may hold \a bytes in all; what it held before counts if it may not. */
    bool mayHold(std::uint64_t answer, std::size_t bytes);

    /** Nothing of \a answer is held any more. */
    void end(std::uint64_t answer);

    /** Bytes that count against the capacity. */
    std::size_t charged() const { return charged_; }

private:
    /** A long answer. */
    struct Long
    {
        std::uint64_t order = 0; ///< Greater the later it became long.
        std::size_t bytes = 0;   ///< What it is charged with.
    };

    const std::size_t capacity_;
    std::uint64_t last_ = 0;
    std::size_t charged_ = 0;
    std::uint64_t lastOrder_ = 0;
    std::map<std::uint64_t, Long> long_;
    std::set<std::uint64_t> orders_; ///< Of all long answers.
};

} // namespace limereel::forward
