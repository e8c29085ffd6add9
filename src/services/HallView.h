/** \file
 * What this box knows of its hall's backend servers, combined from the platform's list, the
 * heartbeats of their owners, and the servers that it owns itself.
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
    membership::BackendState state; ///< As its owner reports it.
    bool reported = false;          ///< Whether any owner has reported it yet.
    std::uint64_t reporter = 0;     ///< The box that reported the state.

    /** Whether it accepts new requests. */
    bool open() const { return reported && state.usable && !state.leaving && !listed.leaving; }

    bool holds(membership::ShortHash model) const;
};

/** The backend servers of the hall at one moment. */
struct HallView
{
    std::vector<BackendView> backends;

    const BackendView *find(std::uint64_t hash) const;
    const BackendView *findShort(membership::ShortHash hash) const;

    /** The open engines that hold \a model, as candidates. */
    std::vector<routing::Candidate> enginesOf(membership::ShortHash model) const;

    /** All engines that hold \a model or held it when last reported, including those that are down.
     */
    std::vector<routing::Candidate> knownEnginesOf(membership::ShortHash model) const;

    /** The box whose report is used for the engine with \a hash; 0 if no box has reported it. */
    std::uint64_t reporterOf(std::uint64_t hash) const;

    /** The open backend servers of a plain service. */
    std::vector<const BackendView *> runnersOf(const std::string &service) const;
};

/**
 * Builds the view. If several boxes report a backend server, the report of the one that owns it
 * among \a owners is used; if none of them does, the report with the highest load, which is the
 * safe choice.
 */
HallView makeHallView(const store::HallList &list, const std::vector<membership::BoxState> &states,
                      const std::vector<std::uint64_t> &owners);

} // namespace limereel::services
