/** \file
 * Acquires places in other halls for requests whose own hall has none.
 *
 * A box of the other hall finds the place, since it knows its hall's owners and loads, and holds
 * the permit for the box that asked. The asking box renews the permit and gives it back at that
 * box. If the asking box dies, the place is free again when the permit's lease has expired.
 */
#pragma once

#include "kernel/decisions/AwakeTime.h"
#include "services/PeriodicTask.h"
#include "services/PermitService.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace limereel::services {

/** Both sides: asking other halls, and serving what they ask. */
class SpillService : public kernel::Service
{
public:
    explicit SpillService(Context &context);

    std::string_view name() const override { return "spill"; }
    void start() override;
    void stop() override;

    /** Acquires a place on an engine of another hall; halls of the own region are asked first. */
    boost::asio::awaitable<tl::expected<Permit, PermitRefusal>> acquire(EngineRequirements need);

    /** Takes back a permit that this box holds for another hall. \return false if it holds none for
     * this message. */
    bool take(const peer::GiveBack &message);

    /** Renews permits that this box holds for another hall. */
    void take(const peer::Renew &renew);

private:
    /** A permit of this hall, held for a box of another one. */
    struct Delegated
    {
        Permit permit;
        kernel::Instant until;
    };

    std::vector<std::string> hallsInOrder(kernel::ChatKey chat) const;
    boost::asio::awaitable<std::optional<Permit>> tryHall(std::string hall, peer::AskPermit ask,
                                                          PermitRefusal &refusal);
    boost::asio::awaitable<void> serve(peer::AskPermit ask, kernel::Endpoint from);
    void sendAnswer(const peer::AskPermit &ask, const kernel::Endpoint &from);
    kernel::Instant awake();
    boost::asio::awaitable<kernel::Duration> expiryRound();
    void dropExpired();

    Context &context_;
    kernel::AwakeTime awake_; ///< Clock of the leases of permits held for other halls.
    std::unordered_map<std::uint64_t, Delegated> delegated_; ///< By the asking box's request id.
    std::set<std::uint64_t> serving_; ///< Requests for permits that are being served.
    std::unique_ptr<PeriodicTask> expiryLoop_;
};

} // namespace limereel::services
