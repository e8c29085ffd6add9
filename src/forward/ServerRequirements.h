/** \file
 * What a request wants of a backend server, and the server that was chosen for it.
 */
#pragma once

#include "forward/Backend.h"
#include "forward/Call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limereel::forward {

/** What is wanted of a backend server. */
struct ServerRequirements
{
    std::string service;
    const Prompt *prompt = nullptr;     ///< Set where parts of prompts are kept.
    bool takeParts = false;             ///< Servers may take parts of prompts from each other.
    std::vector<std::string> tried;     ///< Servers not to be chosen.
    std::vector<std::string> barred;    ///< Servers that may not be sent more for now.
    std::vector<std::string> regions;   ///< Where it may run; empty: anywhere.
    std::vector<std::string> full;      ///< Servers over the bound, as their owners say.
    std::vector<std::uint32_t> holders; ///< Servers that others know to hold its shared parts, by
                                        ///< the last 32 bits of their hashes.
    std::vector<std::uint32_t>
            firstPartHolders;  ///< The same of those that hold only the first part.
    bool holdersAsked = false; ///< The box that remembers for all where the parts lie was asked.
    bool alone = false;        ///< It may end its server: the one with the least to lose.
    bool spread = false; ///< Enough owners said so: any other server, not the next for all boxes.
};

/** The server for a request. */
struct Choice
{
    ListedServer server;
    std::optional<kernel::Endpoint> takeFrom; ///< A server that should hold more of the prompt.
    std::size_t held = 0; ///< Shared prefixes of the prompt that the server should hold.
    bool trial = false;   ///< The server or its hall is doubted: kept connections may be dead.
};

} // namespace limereel::forward
