/** \file
 * Counts the requests that run on the engines that a box owns, and decides whether one more fits.
 * Only the owner of an engine enforces the bound on its load, so that a fleet of any size agrees on
 * it.
 *
 * A place is a lease on one slot of an engine, granted by the engine's owner, so the places of a
 * box that dies become free again. Each request for a place reports the load of the asking box on
 * the whole service. The mean load of an engine is estimated from the latest reports: their mean,
 * times the number of boxes, divided by the number of engines. A busy box asks more often and is
 * thus more likely to have reported recently, so each report is weighted by the inverse of its
 * probability (Horvitz and Thompson, 1952); otherwise the estimate would be the mean of the busy
 * boxes.
 */
#pragma once

#include "kernel/decisions/Time.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace limereel::forward {

/** The settings of a ledger. */
struct PlacePolicy
{
    double loadMultiple = 2;      ///< Upper bound on an engine's load, as a multiple of the mean.
    double beyond = 3;            ///< Requests added to that bound.
    double grantedPart = 0.7;     ///< Part of that multiple that is granted.
    kernel::Duration lease = 20s; ///< How long a place is held that isn't given back.
    kernel::Duration reportMaxAge = 3s; ///< How long a report of a box counts.
    double idleReports = 1; ///< Reports of idle boxes that are assumed, unless all boxes reported.
};

/** A request for a place. */
struct PlaceAsk
{
    std::uint64_t request = 0;
    std::uint64_t engine = 0;
    std::uint64_t service = 0;
    std::uint64_t box = 0;
    std::uint32_t boxLoad = 0; ///< Requests that the box runs on the whole service.
    /** Requests for a place by the box for the service within the last \c reportMaxAge. */
    double boxAsks = 1;
};

/** The number of boxes and engines that share the load. */
struct FleetSize
{
    std::size_t boxes = 1;
    std::size_t engines = 1; ///< Engines of the service that accept new requests.
};

/** The owner's answer. */
struct PlaceAnswer
{
    bool granted = false;
    std::uint32_t load = 0; ///< Load of the engine, including this request if granted.

    auto operator<=>(const PlaceAnswer &) const = default;
};

/** The places on all engines that one box owns. Deterministic: callers pass in the current time. */
class PlaceLedger
{
public:
    explicit PlaceLedger(PlacePolicy policy)
        : policy_(policy)
    {
    }

    /** Decides a request for a place. A repeated one is answered again but counted once. */
    PlaceAnswer ask(const PlaceAsk &ask, const FleetSize &fleet, kernel::Instant now);

    /** Records the load report of a request for a place, and returns the most places that ask()
     * would grant on its engine, for a caller that counts the places itself. */
    double noteReport(const PlaceAsk &ask, const FleetSize &fleet, kernel::Instant now);

    void giveBack(std::uint64_t engine, std::uint64_t request);

    /** Drops places whose lease has ended, and old reports. */
    void expire(kernel::Instant now);

    std::uint32_t load(std::uint64_t engine) const;

    /** The mean load of a service's engines, as estimated from the latest reports. */
    double meanLoad(std::uint64_t service, const FleetSize &fleet, kernel::Instant now) const;

    /** The number of boxes that reported on the service recently. */
    std::size_t recentReports(std::uint64_t service, kernel::Instant now) const;

private:
    struct LoadReport
    {
        std::uint32_t load = 0;
        double asks = 1;
        kernel::Instant reportedAt;
    };

    /** End of the lease, by request. */
    using Places = std::unordered_map<std::uint64_t, kernel::Instant>;

    PlacePolicy policy_;
    std::map<std::uint64_t, Places> engines_;
    /** By service, then box. */
    std::map<std::uint64_t, std::map<std::uint64_t, LoadReport>> reports_;
};

} // namespace limereel::forward
