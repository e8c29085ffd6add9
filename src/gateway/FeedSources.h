/** \file
 * The boxes of the own hall that a feed may ask in place of the store, from what the heartbeats
 * tell of them.
 */
#pragma once

#include "services/Context.h"
#include "services/MembershipService.h"

#include <optional>
#include <vector>

namespace limereel::gateway {

/** The relays of the own hall. Worked out anew after each heartbeat. */
class FeedSources
{
public:
    /** \param fewest boxes in a hall from which on some relay for the others. */
    FeedSources(services::Context &context, std::size_t fewest);

    /** The boxes to ask, best first, which may name this one; empty if nobody relays. */
    const std::vector<std::uint64_t> &relays() const { return relays_; }

    std::uint64_t self() const { return members_.self(); }

    /** Live boxes of the hall, this one included. */
    std::size_t hallBoxes() const { return hallBoxes_; }

    std::optional<kernel::Endpoint> addressOf(std::uint64_t box) const
    {
        return members_.addressOf(box);
    }

    std::string nameOf(std::uint64_t box) const { return members_.nameOf(box); }

    void setFewest(std::size_t fewest) { fewest_ = fewest; }

private:
    void workOut();

    services::Context &context_;
    services::MembershipService &members_;
    std::size_t fewest_;
    std::size_t hallBoxes_ = 1;
    std::vector<std::uint64_t> relays_;
};

} // namespace limereel::gateway
