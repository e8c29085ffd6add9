/** \file
 * What a request requires of a backend server, and the server that was chosen for it.
 */
#pragma once

#include "forward/Call.h"
#include "forward/StreamOrigin.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace limereel::forward {

/** What a request requires of a backend server. */
struct ServerRequirements
{
    std::string service;
    const Prompt *prompt = nullptr; ///< Set if engines keep parts of prompts.
    bool takeParts = false;         ///< Whether servers may fetch parts of prompts from each other.
    /** Set if it continues a stream: only servers that may do that are chosen. */
    std::optional<StreamOrigin> origin;
    std::vector<std::string> tried;   ///< Ids of servers that were tried already.
    std::vector<std::string> barred;  ///< Ids of servers that may get no more requests for now.
    std::vector<std::string> regions; ///< Regions where it may run; empty: anywhere.
    /** Ids of servers whose owners said that they are over the load bound. */
    std::vector<std::string> full;
    std::vector<std::uint32_t> holders; ///< Servers that other boxes know to hold its shared parts,
                                        ///< by the last 32 bits of their hashes.
    /** The same for servers that hold only the first part. */
    std::vector<std::uint32_t> firstPartHolders;
    /** Whether the box that keeps the HolderIndex for these parts was asked. */
    bool holdersAsked = false;
    /** If it isn't 0 and there is no prompt, the first usable server in the rendezvous order of
     * this key that isn't in \c full is chosen instead of the least loaded one. For plain services
     * that are short: a caller that returns then meets the owner that refused it. */
    std::uint64_t order = 0;
    /** Whether a plain server of another hall is as good as one of the own hall. */
    bool anyHall = false;
    bool alone = false;  ///< Whether it may crash its server: the least loaded one is chosen.
    bool spread = false; ///< Whether enough owners said that their servers are full: a random other
                         ///< server is chosen instead of the next in the order, which is the same
                         ///< for all boxes.
};

/** The server chosen for a request. */
struct Choice
{
    ListedServer server;
    std::optional<kernel::Endpoint> takeFrom; ///< Server from which it may fetch parts, as it
                                              ///< should hold more of the prompt.
    std::size_t held = 0; ///< Number of the prompt's shared prefixes that the server should hold.
    bool trial = false;   ///< Whether the server or its hall is suspected, so that kept connections
                          ///< may be dead.
};

} // namespace limereel::forward
