/** \file
 * The loads of other owners' engines as last reported, and this owner's own load at the time of
 * each report.
 *
 * There are two sources: heartbeats, which are a few periods old, and the load that comes with each
 * permit request and answer, which is current. The newer one is used; LoadEstimate extrapolates it
 * to the present.
 */
#pragma once

#include "kernel/decisions/Time.h"
#include "membership/BoxState.h"

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <unordered_map>

namespace limereel::routing {

/** One engine's load as known to this box. */
struct KnownLoad
{
    std::uint64_t engine = 0;
    std::uint32_t inFlight = 0;
    std::uint64_t reporter = 0; ///< The box that reported it; 0: this box, which owns the engine.
};

/** Requests in flight by engine. */
using OwnLoads = std::unordered_map<std::uint64_t, std::uint32_t>;

/** The load table of one owner. */
class LoadTable
{
public:
    /** \param period time between two heartbeats. */
    explicit LoadTable(kernel::Duration period)
        : period_(period)
    {
    }

    /**
     * Records the own loads at a heartbeat. \param reportAge age, in periods, of the loads in the
     * heartbeats of other boxes.
     */
    void noteHeartbeat(OwnLoads own, std::size_t reportAge);

    /**
     * Records that \a box reported \a load on its engines of \a model while this box had \a own.
     */
    void noteReport(std::uint64_t box, membership::ShortHash model, std::uint32_t load,
                    std::uint32_t own, kernel::Instant now);

    /** Drops reports older than \a age. */
    void forget(kernel::Duration age, kernel::Instant now);

    /** Estimated requests in flight on all of \a engines, which hold \a model. */
    std::uint64_t inFlight(membership::ShortHash model, std::span<const KnownLoad> engines,
                           kernel::Instant now) const;

    /** Number of past heartbeats whose own loads are kept. */
    static constexpr std::size_t MaxPastHeartbeats = 8;

private:
    struct Report
    {
        std::uint32_t load = 0;
        std::uint32_t ownAtReport = 0;
        kernel::Instant at;
    };

    std::uint64_t ownAtReport(std::span<const KnownLoad> engines) const;

    kernel::Duration period_;
    std::size_t reportAge_ = 1;
    std::deque<OwnLoads> pastOwnLoads_; ///< Own loads at the last heartbeats, newest first.
    std::map<std::pair<std::uint64_t, membership::ShortHash>, Report>
            reports_; ///< By box and model.
};

} // namespace limereel::routing
