/** \file
 * Serves calls to plain services: chooses a runner (a backend server of the service), and makes
 * sure that a call that may not be repeated runs at most once.
 */
#pragma once

#include "config/Effective.h"
#include "http/Server.h"
#include "outcome/RetryBudget.h"
#include "services/Context.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <unordered_map>

namespace limereel::services {

/** Handles /v1/services/NAME/... */
class ServiceHandler
{
public:
    ServiceHandler(Context &context, outcome::RetryBudget &budget)
        : context_(context)
        , budget_(budget)
    {
    }

    /** Serves \a request of \a organisation. \a requestId is returned in the answer. */
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply,
                                        config::OrganisationSettings organisation,
                                        std::string requestId);

private:
    class Run;

    Context &context_;
    outcome::RetryBudget &budget_;
    std::unordered_map<std::uint64_t, int>
            inFlight_; ///< Calls in flight from this router, by the hash of the runner's name.
};

} // namespace limereel::services
