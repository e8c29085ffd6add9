/** \file
 * The choice of one of the usable servers for a request.
 *
 * Prompts go to the first server in the order of their shared parts, which is the same on every
 * box, or to one close behind it that holds them already; a server whose load passes a multiple of
 * the mean is passed over (bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2016). Other requests
 * go to the idlest server, those of the own hall first.
 */
#pragma once

#include "forward/UsableServers.h"

#include <functional>
#include <optional>
#include <random>

namespace limereel::forward {

/** The choice. */
class ServerChoice
{
public:
    /** Whether a server is known to hold all shared parts of the wish's prompt. */
    using HoldsAll = std::function<bool(const ServerRecord &record)>;

    ServerChoice(const ServerView &view, const ServerPolicy &policy,
                 const ServerRequirements &requirements)
        : view_(view)
        , policy_(policy)
        , requirements_(requirements)
        , usable_(view, requirements)
    {
    }

    /** The server with the least load for its places; nullptr if none may be used. */
    const ServerRecord *idlest(std::mt19937_64 &random) const;

    /** The server for the wish's prompt, which has parts. */
    const ServerRecord *forPrompt(const HoldsAll &holdsAll) const;

    /** One of those that aren't full: of two by chance the less loaded one. */
    const ServerRecord *spread(std::mt19937_64 &random) const;

private:
    const ServerRecord *idlestNoted(std::mt19937_64 &random) const;
    const ServerRecord *idlestUnused(std::mt19937_64 &random) const;
    double cost(const ServerRecord &record) const;
    bool full(const ServerRecord &record) const;

    const ServerView &view_;
    const ServerPolicy &policy_;
    const ServerRequirements &requirements_;
    UsableServers usable_;
};

} // namespace limereel::forward
