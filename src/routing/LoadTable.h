/** \file
 * What an owner has heard of the loads on other owners' engines, and what it carried itself at the
 * time.
 *
 * Two sources: heartbeats, a few periods old, and the word that comes with each ask and answer,
 * which is fresh. The newer one counts. From there LoadEstimate reckons forward.
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

/** One engine's load as it is known here. */
struct KnownLoad
{
    std::uint64_t engine = 0;
    std::uint32_t inFlight = 0;
    std::uint64_t reporter = 0; ///< The box that said so; 0: this box, which owns it.
};

/** In flight by engine. */
using OwnLoads = std::unordered_map<std::uint64_t, std::uint32_t>;

/** The book of one owner. */
class LoadTable
{
public:
    /** \param period of the heartbeats. */
    explicit LoadTable(kernel::Duration period)
        : period_(period)
    {
    }

    /** Notes the own loads at a heartbeat, and how many periods old what others said in theirs is.
     */
    void noteHeartbeat(OwnLoads own, std::size_t reportAge);

    /** Notes that \a box has \a load on its engines of \a model, while this one had \a own. */
    void noteReport(std::uint64_t box, membership::ShortHash model, std::uint32_t load,
                    std::uint32_t own, kernel::Instant now);

    /** Forgets words older than \a age. */
    void forget(kernel::Duration age, kernel::Instant now);

    /** In flight on all of \a engines, which hold \a model, as far as can be told. */
    std::uint64_t inFlight(membership::ShortHash model, std::span<const KnownLoad> engines,
                           kernel::Instant now) const;

    /** Heartbeats that are looked back. */
    static constexpr std::size_t MostPast = 8;

private:
    struct Spoken
    {
        std::uint32_t load = 0;
        std::uint32_t ownAtReport = 0;
        kernel::Instant at;
    };

    std::uint64_t ownAtReport(std::span<const KnownLoad> engines) const;

    kernel::Duration period_;
    std::size_t reportAge_ = 1;
    std::deque<OwnLoads> past_; ///< At the last heartbeats, newest first.
    std::map<std::pair<std::uint64_t, membership::ShortHash>, Spoken>
            spoken_; ///< By box and model.
};

} // namespace limereel::routing
