/** \file
 * A backend server as the platform lists it.
 */
#pragma once

#include "kernel/BoxSettings.h"

#include <cstdint>
#include <string>

namespace limereel::forward {

/** One incarnation of a backend server. */
struct ListedServer
{
    std::string id; ///< Of this incarnation; never used again.
    std::string service;
    kernel::Endpoint address;
    std::string hall;
    std::uint32_t slots = 1;
    bool engine = false; ///< A model engine, not a plain service.
    bool leaving = false;

    auto operator<=>(const ListedServer &) const = default;
};

} // namespace limereel::forward
