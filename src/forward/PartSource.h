/** \file
 * Where a chosen server may fetch the prompt parts that it lacks: from a server that is known to
 * hold them, or else from the one that would be chosen without it.
 */
#pragma once

#include "forward/PartIndex.h"
#include "forward/ServerHealth.h"
#include "forward/ServerIndex.h"
#include "forward/ServerRequirements.h"
#include "forward/UsableServers.h"

#include <functional>
#include <optional>
#include <vector>

namespace limereel::forward {

/** The state on which the choice of a source is based. */
struct SourceView
{
    const ServerIndex &index;
    const ServerHealth &health;
    const PartIndex &parts;
    kernel::Duration newServerAge; ///< See ServerPolicy.
    kernel::Instant now;
};

/** The sources of the parts of one prompt. */
class PartSource
{
public:
    /** \a requirements have a prompt and outlive this. */
    PartSource(const SourceView &view, const ServerRequirements &requirements)
        : view_(view)
        , requirements_(requirements)
    {
    }

    /** Number of the prompt's shared prefixes that \a record should hold. */
    std::size_t heldBy(const ServerRecord &record) const;

    /** Whether \a record is known to hold all shared parts. */
    bool holdsAll(const ServerRecord &record) const;

    /** The server from which \a target may fetch the parts beyond the \a held ones; nothing if
     * there is none. \param allowed the halls to which parts of the prompt may be sent. */
    std::optional<kernel::Endpoint> find(const ServerRecord &target, std::size_t held,
                                         const HallSet &allowed) const;

    /** Whether the chosen server or another one is known to hold all shared parts; otherwise the
     * source is a guess. */
    bool known(const Choice &choice) const;

private:
    using MayBeSource = std::function<bool(const ServerRecord &)>;

    bool named(const ServerRecord &record) const;
    const ServerRecord *firstNamed(const std::vector<std::uint32_t> &hashes,
                                   const MayBeSource &mayBeSource) const;
    const ServerRecord *guessed(const MayBeSource &mayBeSource) const;

    SourceView view_;
    const ServerRequirements &requirements_;
};

} // namespace limereel::forward
