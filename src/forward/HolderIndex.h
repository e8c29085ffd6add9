/** \file
 * Which engines were lately sent which shared prompt parts, as the owner of the engine knows that a
 * prompt asks for first. Every box asks there first, so what one box learned serves all: without it
 * each box guesses where parts lie that another one had to send elsewhere, and they are read again.
 */
#pragma once

#include "kernel/decisions/Time.h"
#include "membership/BoxState.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace limereel::forward {

/** The settings of the index. */
struct HolderPolicy
{
    kernel::Duration remembered = 60s;
    std::size_t holders = 3;  ///< Engines remembered for one key.
    std::size_t keys = 65536; ///< Then all is forgotten and learned anew.
};

/** The index of one box. Pure: time is handed in. */
class HolderIndex
{
public:
    explicit HolderIndex(HolderPolicy policy = {})
        : policy_(policy)
    {
    }

    /** A prompt whose shared parts have \a key was sent to \a engine. */
    void note(std::uint64_t key, membership::ShortHash engine, kernel::Instant now);

    /** The engines that should hold the parts, the last one first. */
    std::vector<membership::ShortHash> holders(std::uint64_t key, kernel::Instant now) const;

    /** Drops what is too old. */
    void expire(kernel::Instant now);

    std::size_t size() const { return keys_.size(); }

private:
    struct Use
    {
        membership::ShortHash engine = 0;
        kernel::Instant last;
    };

    HolderPolicy policy_;
    std::unordered_map<std::uint64_t, std::vector<Use>> keys_;
};

} // namespace limereel::forward
