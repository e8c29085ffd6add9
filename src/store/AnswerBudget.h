/** \file
 * How many bytes of answers a relay holds for askers at once.
 *
 * The whole list of ten thousand servers is some 4 MB, and an asker with a link of 20 Mbit/s takes
 * 1.6 s to read it. When half of a hall restarts, a hundred boxes ask at once: 400 MB, more
 * than a box has. A box that is refused asks the next relay, and finally the store.
 */
#pragma once

#include <cstddef>

namespace limereel::store {

/** The answer budget of one relay. Does no I/O. */
class AnswerBudget
{
public:
    /** \param linkMbps speed of the relay's own link, 0 if unknown. The budget is what the link
     * sends in half a second. */
    explicit AnswerBudget(double linkMbps);

    /** Reserves \a bytes of the budget; false if less is left. An answer is always accepted if no
     * other one is held, and a small answer is accepted at any time, since the other boxes wait for
     * the changes in it. */
    bool take(std::size_t bytes);

    void giveBack(std::size_t bytes) { held_ -= bytes; }

    std::size_t held() const { return held_; }

private:
    std::size_t maxBytes_;
    std::size_t held_ = 0;
};

} // namespace limereel::store
