/** \file
 * The owner's count of what runs on its engines, and whether one more request fits: the bound on
 * load is kept by the one box that knows, so a fleet of any size agrees on it.
 *
 * Each ask brings what its box runs on the whole service. The mean load of an engine is reckoned
 * from the latest words of the boxes that asked: their mean, times the boxes, over the engines. A
 * busy box asks more often and so is heard more often; each word is weighed by the inverse of the
 * chance to hear it (Horvitz and Thompson, 1952), else the mean would be that of the busy boxes.
 * A place is a lease; a box that dies leaves no hole.
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
    double loadMultiple = 2;            ///< Most load of an engine, as a multiple of the mean.
    double beyond = 3;                  ///< Added to it.
    double grantedPart = 0.7;           ///< Part of the multiple that is granted.
    kernel::Duration lease = 20s;       ///< Of a place that nobody gives back.
    kernel::Duration reportMaxAge = 3s; ///< How long the word of a box counts.
    double idleReports = 1;             ///< Words of idle boxes that are added unless all spoke.
};

/** One ask for a place. */
struct PlaceAsk
{
    std::uint64_t request = 0;
    std::uint64_t engine = 0;
    std::uint64_t service = 0;
    std::uint64_t box = 0;
    std::uint32_t boxLoad = 0; ///< What the box runs on the whole service.
    double boxAsks = 1;        ///< Asks of the box for the service within the last \c reportMaxAge.
};

/** How many share the load. */
struct FleetSize
{
    std::size_t boxes = 1;
    std::size_t engines = 1; ///< Of the service, that take work.
};

/** What the owner says. */
struct PlaceAnswer
{
    bool granted = false;
    std::uint32_t load = 0; ///< Of the engine, this request included if granted.

    auto operator<=>(const PlaceAnswer &) const = default;
};

/** The ledger of one box, for all engines that it owns. Pure: time is handed in. */
class PlaceLedger
{
public:
    explicit PlaceLedger(PlacePolicy policy)
        : policy_(policy)
    {
    }

    /** Decides an ask; one that is repeated is answered again and counted once. */
    PlaceAnswer ask(const PlaceAsk &ask, const FleetSize &fleet, kernel::Instant now);

    void giveBack(std::uint64_t engine, std::uint64_t request);

    /** Drops places whose lease is over, and old words. */
    void expire(kernel::Instant now);

    std::uint32_t load(std::uint64_t engine) const;

private:
    struct Word
    {
        std::uint32_t load = 0;
        double asks = 1;
        kernel::Instant at;
    };

    using Places = std::unordered_map<std::uint64_t, kernel::Instant>; ///< By request: its end.

    double meanLoad(std::uint64_t service, const FleetSize &fleet, kernel::Instant now) const;

    PlacePolicy policy_;
    std::map<std::uint64_t, Places> engines_;
    std::map<std::uint64_t, std::map<std::uint64_t, Word>> words_; ///< By service, then box.
};

} // namespace limereel::forward
