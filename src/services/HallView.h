/** \file
 * What this box knows of its hall's backend servers, put together from the platform's list, the
 * heartbeats of their owners, and what it owns itself.
 */
#pragma once

#include "kernel/decisions/Name.h"
#include "membership/BoxState.h"
#include "routing/Placement.h"
#include "store/Directory.h"

#include <optional>
#include <string>
#include <vector>

namespace limereel::services {

/** One backend server. */
struct BackendView
{
    store::ListedBackend listed;
    membership::BackendState state; ///< As its owner says.
    bool reported = false;          ///< Whether any owner has said anything yet.
    std::uint64_t reporter = 0;     ///< The box whose word it is.

    /** Whether it may be given work. */
    bool open() const { return reported && state.usable && !state.leaving && !listed.leaving; }

    bool holds(membership::ShortHash model) const;
};

/** The hall at one moment. */
struct HallView
{
    std::vector<BackendView> backends;

    const BackendView *find(std::uint64_t hash) const;
    const BackendView *findShort(membership::ShortHash hash) const;

    /** The open engines that hold \a model, as candidates. */
    std::vector<routing::Candidate> enginesOf(membership::ShortHash model) const;

    /** All engines that hold \a model or held it when last heard of, those that are down included.
     */
    std::vector<routing::Candidate> knownEnginesOf(membership::ShortHash model) const;

    /** The box whose word counts on the engine with \a hash; 0 if nobody has spoken. */
    std::uint64_t reporterOf(std::uint64_t hash) const;

    /** The open runners of a plain service. */
    std::vector<const BackendView *> runnersOf(const std::string &service) const;
};

/**
 * Puts the view together. Of two boxes that both report a backend server, the one that owns it
 * among \a owners counts; else the greater load, which is the safe one to believe.
 */
HallView makeHallView(const store::HallList &list, const std::vector<membership::BoxState> &states,
                      const std::vector<std::uint64_t> &owners);

} // namespace limereel::services
