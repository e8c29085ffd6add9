/** \file
 * What a box says of itself in its heartbeats, and how newer is told from older.
 *
 * A BoxState is an immutable value that its own box alone makes. Others pass it on unchanged, so
 * two copies of the same (incarnation, version) are equal, and the greater pair is the newer.
 */
#pragma once

#include "kernel/decisions/Name.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace limereel::membership {

/** A hash cut to 32 bits for the wire: engines and models of one hall are few, and bytes are dear.
 */
using ShortHash = std::uint32_t;

/** The 32-bit form of \a hash. */
inline ShortHash shortHash(std::uint64_t hash)
{
    return static_cast<ShortHash>(hash);
}

/** What an owner knows of one backend server. */
struct BackendState
{
    ShortHash backend = 0;          ///< Of the backend server's name.
    std::uint32_t inFlight = 0;     ///< Requests that run or hold a permit.
    std::uint32_t incarnation = 0;  ///< Of the server; a new one has an empty prefix cache.
    bool leaving = false;           ///< It takes no new work.
    bool usable = true;             ///< It answered the last probes.
    std::vector<ShortHash> models;  ///< Of an engine: what it has loaded and ready.
    std::vector<ShortHash> loading; ///< Of an engine: what it is loading.

    auto operator<=>(const BackendState &) const = default;
};

/** One box's word about itself. */
struct BoxState
{
    std::uint64_t box = 0;              ///< Hash of the box's name.
    std::uint64_t incarnation = 0;      ///< Grows with each start of the box.
    std::uint64_t version = 0;          ///< Grows with each change of what follows.
    bool leaving = false;               ///< It hands over what it owns and takes no new work.
    std::uint64_t configRevision = 0;   ///< Of the settings tree in force there.
    std::vector<BackendState> backends; ///< The ones it owns.
    std::uint32_t address = 0;          ///< Its IPv4 number for other boxes; 0: untold.
    ShortHash hall = 0;                 ///< Of its hall's name; told with the address.
    std::uint32_t linkMbps = 0;         ///< Of its own link; told with the address.

    auto operator<=>(const BoxState &) const = default;

    /** Whether \a other says the same, versions aside. */
    bool equalExceptVersion(const BoxState &other) const
    {
        BoxState aligned = other;
        aligned.version = version;
        return aligned == *this;
    }

    /** Whether this is a later word of the same box than \a other. */
    bool newerThan(const BoxState &other) const
    {
        return incarnation != other.incarnation ? incarnation > other.incarnation
                                                : version > other.version;
    }
};

/** How long ago a box gave a sign of life, as far as the sender of a heartbeat knows. */
struct BoxAge
{
    ShortHash box = 0;
    std::uint8_t age =
            0; ///< In quarters of the heartbeat period, rounded up; MaxAge: that or more.

    auto operator<=>(const BoxAge &) const = default;
};

/** The greatest age that is told apart. It takes one byte on the wire. */
inline constexpr std::uint8_t MaxAge = 127;

} // namespace limereel::membership
