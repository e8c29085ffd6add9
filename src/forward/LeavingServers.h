/** \file
 * Which backend servers have said themselves that they leave, by their lives. The word isn't taken
 * back by a list that is behind, nor by a good answer; a new life isn't bound by it.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace limereel::forward {

/** The words of one box's servers. Pure: time is handed in. */
class LeavingServers
{
public:
    /** \param keptFor how long a word is kept after it was last needed. */
    explicit LeavingServers(kernel::Duration keptFor)
        : keptFor_(keptFor)
    {
    }

    /** \a life has said that it leaves. \return whether that is news. */
    bool note(std::uint64_t life, kernel::Instant now);

    bool contains(std::uint64_t life) const { return needed_.contains(life); }

    /** Forgets words that weren't needed for long. \param listed whether a life is still listed,
     * so that its word is needed. */
    void expire(kernel::Instant now, const std::function<bool(std::uint64_t life)> &listed);

    std::size_t size() const { return needed_.size(); }

private:
    kernel::Duration keptFor_;
    std::unordered_map<std::uint64_t, kernel::Instant> needed_; ///< When each was last needed.
};

} // namespace limereel::forward
