/** \file
 * Chooses one of the usable servers for a request.
 *
 * A prompt goes to the first server in the order of its shared parts, which is the same on every
 * box, or to one close behind it that already holds the parts. A server whose load exceeds a
 * multiple of the mean is skipped (bounded loads: Mirrokni, Thorup and Zadimoghaddam, 2016). Other
 * requests go to the least loaded server, preferably in the box's own hall.
 *
 * Where paces are compared, a slow plain server competes by its load alone for a part of the
 * requests that is in proportion to its speed. For the others, its cost includes the extra time of
 * its answers.
 */
#pragma once

#include "forward/UsableServers.h"

#include <functional>
#include <optional>
#include <random>

namespace limereel::forward {

/** One choice. */
class ServerChoice
{
public:
    /** Returns whether a server is known to hold all shared parts of the prompt. */
    using HoldsAll = std::function<bool(const ServerRecord &record)>;

    ServerChoice(const ServerView &view, const ServerPolicy &policy,
                 const ServerRequirements &requirements);

    /** The server with the least load relative to its slots; nullptr if none may be used. */
    const ServerRecord *idlest(std::mt19937_64 &random) const;

    /** The first server in the requirements' order that isn't full, slow ones last; nullptr if none
     * may be used. */
    const ServerRecord *inOrder() const;

    /** The server for the prompt, which has parts; nullptr if none may be used. */
    const ServerRecord *forPrompt(const HoldsAll &holdsAll) const;

    /** The less loaded of two random servers that aren't full; nullptr if none may be used. */
    const ServerRecord *spread(std::mt19937_64 &random) const;

private:
    /** A server and its cost. */
    struct Candidate
    {
        const ServerRecord *record = nullptr;
        double cost = 0;
    };

    Candidate idlestTracked(std::mt19937_64 &random) const;
    const ServerRecord *idlestUntracked(std::mt19937_64 &random) const;
    double cost(const ServerRecord &record) const;
    double slowness(const ServerRecord &record) const;
    double extraTime(const ServerRecord &record, std::mt19937_64 &random) const;
    bool full(const ServerRecord &record) const;

    const ServerView &view_;
    const ServerPolicy &policy_;
    const ServerRequirements &requirements_;
    UsableServers usable_;
    kernel::Duration bestPace_{}; ///< Of the usable servers; zero: not known or not compared.
};

} // namespace limereel::forward
