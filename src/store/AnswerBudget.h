/** \file
 * How many bytes of answers a relay holds for askers at once.
 *
 * The whole list of ten thousand servers is some 4 MB, and an asker with a link of 20 Mbit/s takes
 * 1.6 s to read it. A hall of which half starts again asks a hundred times at once: 400 MB, more
 * than a box has. Who is turned away asks the next relay, and at last the store.
 */
#pragma once

#include <cstddef>

namespace limereel::store {

/** The room of one relay. Pure. */
class AnswerBudget
{
public:
    /** \param linkMbps of the relay's own link: what that sends in half a second has room; 0:
     * untold. */
    explicit AnswerBudget(double linkMbps);

    /** Takes \a bytes of the room; false if there isn't so much left. One answer always has room,
     * and small ones, which all the others wait for, are never turned away. */
    bool take(std::size_t bytes);

    void giveBack(std::size_t bytes) { held_ -= bytes; }

    std::size_t held() const { return held_; }

private:
    std::size_t most_;
    std::size_t held_ = 0;
};

} // namespace limereel::store
