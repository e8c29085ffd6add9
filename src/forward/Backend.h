/** \file
 * A backend server as the platform lists it.
 */
#pragma once

#include "kernel/BoxSettings.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limereel::forward {

/** One life of a backend server. */
struct ListedServer
{
    std::string id; ///< Of this incarnation; where \c born is told, of several in turn.
    std::string service;
    kernel::Endpoint address;
    std::string hall;
    std::uint32_t slots = 1;
    bool engine = false; ///< A model engine, not a plain service.
    bool leaving = false;
    std::optional<std::uint64_t>
            startNumber; ///< Grows with each start of the same id; nothing: untold.

    /** Names this life of the server to other boxes: what they knew of an earlier one of the same
     * id doesn't hold for it. */
    std::uint64_t hash() const;

    auto operator<=>(const ListedServer &) const = default;
};

/** What the entry of a backend server says. */
struct ServerEntry
{
    ListedServer server;
    kernel::Duration coldFor{}; ///< For how long it is cold, as of the entry; zero: not, or untold.

    auto operator<=>(const ServerEntry &) const = default;
};

} // namespace limereel::forward
