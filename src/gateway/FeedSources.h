/** \file
 * The boxes of this hall that a feed may ask instead of the store, according to their heartbeats.
 */
#pragma once

#include "services/Context.h"
#include "services/MembershipService.h"

#include <optional>
#include <vector>

namespace limereel::gateway {

/** The relays of this hall. Recomputed after each heartbeat. */
class FeedSources
{
public:
    /** \param fewest number of boxes in a hall from which on relays are used. */
    FeedSources(services::Context &context, std::size_t fewest);

    /** The boxes to ask, best first; may include this one. Empty if the hall has no relays. */
    const std::vector<std::uint64_t> &relays() const { return relays_; }

    std::uint64_t self() const { return members_.self(); }

    /** Number of live boxes in the hall, this one included. */
    std::size_t hallBoxes() const { return hallBoxes_; }

    std::optional<kernel::Endpoint> addressOf(std::uint64_t box) const
    {
        return members_.addressOf(box);
    }

    std::string nameOf(std::uint64_t box) const { return members_.nameOf(box); }

    void setFewest(std::size_t fewest) { fewest_ = fewest; }

private:
    void updateRelays();

    services::Context &context_;
    services::MembershipService &members_;
    std::size_t fewest_;
    std::size_t hallBoxes_ = 1;
    std::vector<std::uint64_t> relays_;
};

} // namespace limereel::gateway
