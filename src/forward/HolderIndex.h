/** \file
 * Records which engines were recently sent which shared prompt parts. The index is kept by the
 * owner of the engine that a prompt prefers. Every box asks there first, so what one box learned
 * serves all. Without it, each box has to guess where parts are that another box had to send
 * elsewhere, and they are read again.
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
    std::size_t keys = 65536; ///< Most keys kept; beyond that the index is emptied.
};

/** The index of one box. Deterministic: callers pass in the current time. */
class HolderIndex
{
public:
    explicit HolderIndex(HolderPolicy policy = {})
        : policy_(policy)
    {
    }

    /** Records that a prompt whose shared parts have \a key was sent to \a engine. */
    void note(std::uint64_t key, membership::ShortHash engine, kernel::Instant now);

    /** The engines that should hold the parts, the most recent first. */
    std::vector<membership::ShortHash> holders(std::uint64_t key, kernel::Instant now) const;

    /** Drops entries that are too old. */
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
