/** \file
 * Rendezvous hashing: every box computes the same order from the same members, and a member that is
 * added or removed moves only its own share of the keys. (Thaler and Ravishankar, 1998.)
 *
 * It orders the engines for a chat, and it finds the box that owns an engine. Nothing is stored and
 * no leader is elected.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace limereel::membership {

/**
 * The weight of \a member for \a key; the member with the highest weight comes first. It is a full
 * 64-bit finalizer (the constants of MurmurHash3's fmix64, public domain): both inputs are hashes
 * already, and this runs for each server of a service on each request.
 */
inline std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t member)
{
    std::uint64_t mixed = key ^ (member * 0x9e3779b97f4a7c15ULL);
    mixed ^= mixed >> 33U;
    mixed *= 0xff51afd7ed558ccdULL;
    mixed ^= mixed >> 33U;
    mixed *= 0xc4ceb9fe1a85ec53ULL;
    mixed ^= mixed >> 33U;
    return mixed;
}

/**
 * Positions in \a members of the \a count best for \a key, best first. Equal weights are ordered by
 * the lower hash.
 */
std::vector<std::size_t> rendezvousOrder(std::uint64_t key, std::span<const std::uint64_t> members,
                                         std::size_t count);

/** The best member for \a key; nothing if there are none. */
std::optional<std::uint64_t> rendezvousOwner(std::uint64_t key,
                                             std::span<const std::uint64_t> members);

} // namespace limereel::membership
