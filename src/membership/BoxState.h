/** \file
 * The state that a box publishes in its heartbeats, and the order of its versions.
 *
 * A BoxState is an immutable value that only its own box creates. Other boxes pass it on unchanged,
 * so two copies of the same (incarnation, version) are equal, and the one with the greater pair is
 * newer.
 */
#pragma once

#include "kernel/decisions/Name.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace limereel::membership {

/**
 * A hash truncated to 32 bits for messages: a hall has few engines and models, and heartbeats must
 * be small.
 */
using ShortHash = std::uint32_t;

/** The 32-bit form of \a hash. */
inline ShortHash shortHash(std::uint64_t hash)
{
    return static_cast<ShortHash>(hash);
}

/** What an owner knows about one backend server. */
struct BackendState
{
    ShortHash backend = 0;          ///< Of the backend server's name.
    std::uint32_t inFlight = 0;     ///< Requests that run or hold a permit.
    std::uint32_t incarnation = 0;  ///< Of the server; a restarted one has an empty prefix cache.
    bool leaving = false;           ///< It takes no new work.
    bool usable = true;             ///< It answered the last probes.
    std::vector<ShortHash> models;  ///< Of an engine: models loaded and ready.
    std::vector<ShortHash> loading; ///< Of an engine: models being loaded.

    auto operator<=>(const BackendState &) const = default;
};

/** The state of one box, as published by itself. */
struct BoxState
{
    std::uint64_t box = 0;              ///< Hash of the box's name.
    std::uint64_t incarnation = 0;      ///< Grows with each start of the box.
    std::uint64_t version = 0;          ///< Grows with each change of the members below.
    bool leaving = false;               ///< It hands over what it owns and takes no new work.
    std::uint64_t configRevision = 0;   ///< Of the settings tree in force there.
    std::vector<BackendState> backends; ///< The backend servers it owns.
    std::uint32_t address = 0; ///< Its IPv4 address for other boxes, as a number; 0: not published.
    ShortHash hall = 0;        ///< Of its hall's name; published with the address.
    std::uint32_t linkMbps = 0; ///< Of its own link; published with the address.
    bool detours = false;       ///< It serves requests of boxes that reach none of their servers.
    std::vector<ShortHash> lostServices; ///< Services of which it reaches no backend server.

    bool keepsStreams = false; ///< It knows which server began a stream, and heeds it.

    /** It runs a request of another box by the configuration that admitted it there, or not at all.
     */
    bool checksConfiguration = false;

    auto operator<=>(const BoxState &) const = default;

    /** Whether requests of other boxes may be sent through this one. */
    bool takesDetours() const { return detours && checksConfiguration && !leaving; }

    /** Whether \a other is equal apart from the version. */
    bool equalExceptVersion(const BoxState &other) const
    {
        BoxState aligned = other;
        aligned.version = version;
        return aligned == *this;
    }

    /** Whether this is a newer state of the same box than \a other. */
    bool newerThan(const BoxState &other) const
    {
        return incarnation != other.incarnation ? incarnation > other.incarnation
                                                : version > other.version;
    }
};

/** How long ago a box was last heard from, as far as the sender of a heartbeat knows. */
struct BoxAge
{
    ShortHash box = 0;
    std::uint8_t age =
            0; ///< In quarters of the heartbeat period, rounded up; MaxAge: that or more.

    auto operator<=>(const BoxAge &) const = default;
};

/** The greatest age that is distinguished. An age takes one byte in a message. */
inline constexpr std::uint8_t MaxAge = 127;

} // namespace limereel::membership
