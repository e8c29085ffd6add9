/** \file
 * A backend server as the platform lists it.
 */
#pragma once

#include "forward/SoftwareVersion.h"
#include "kernel/BoxSettings.h"
#include "kernel/decisions/Time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limereel::forward {

/** One incarnation of a backend server. */
struct ListedServer
{
    std::string id; ///< Identifies the incarnation; with \c born, it is shared by successive ones.
    std::string service;
    kernel::Endpoint address;
    std::string hall;
    std::uint32_t slots = 1;
    bool engine = false; ///< Whether it is a model engine and not a plain service.
    bool leaving = false;
    /** Increases with each start of the same id; nothing: unknown. */
    std::optional<std::uint64_t> startNumber;
    SoftwareVersion version; ///< Of its software, not of the weights that it has loaded.

    /** Identifies this incarnation to other boxes: what they know of an earlier one with the same
     * id doesn't apply to it. */
    std::uint64_t hash() const;

    auto operator<=>(const ListedServer &) const = default;
};

/** The contents of a backend server's entry in the platform's list. */
struct ServerEntry
{
    ListedServer server;
    /** How long it is still cold; zero: it is warm, or the entry doesn't say. */
    kernel::Duration coldFor{};

    auto operator<=>(const ServerEntry &) const = default;
};

} // namespace limereel::forward
