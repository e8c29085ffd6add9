/** \file
 * Claims on idempotency keys, kept on the platform; see outcome/Claim.h for the decision.
 */
#pragma once

#include "outcome/ResultCode.h"
#include "services/Context.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <tl/expected.hpp>

namespace limereel::services {

/** A claim that an attempt holds. */
struct HeldClaim
{
    std::string object;        ///< Name of the claim's object on the platform.
    std::uint64_t version = 0; ///< Of the object; 0 if it isn't known.
};

/** Takes and releases claims. */
class ClaimService : public kernel::Service
{
public:
    explicit ClaimService(Context &context)
        : context_(context)
    {
    }

    std::string_view name() const override { return "claims"; }
    void start() override {}
    void stop() override {}

    /** Claims \a key of \a organisation at \a service for the attempt \a attempt; the error says
     * why the claim is refused. */
    boost::asio::awaitable<tl::expected<HeldClaim, outcome::ResultCode>>
    claim(std::string organisation, std::string service, std::string key, std::string attempt);

    /** Gives up the claim of a request that certainly did not run, so that its key may be used
     * again.
     */
    boost::asio::awaitable<void> release(HeldClaim claim);

private:
    Context &context_;
};

} // namespace limereel::services
