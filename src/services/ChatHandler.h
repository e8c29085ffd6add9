/** \file
 * Serves chat requests: acquires a permit for an engine, sends the request to the engine, streams
 * the answer back, and makes another attempt where that is allowed.
 */
#pragma once

#include "config/Effective.h"
#include "http/Server.h"
#include "outcome/RetryBudget.h"
#include "peer/Envelope.h"
#include "services/Context.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace limereel::services {

/** Handles POST /v1/chat/completions. */
class ChatHandler
{
public:
    ChatHandler(Context &context, outcome::RetryBudget &budget);

    /** Serves \a request of \a organisation. \a requestId is returned in the answer. */
    boost::asio::awaitable<void> handle(http::Request request, http::Reply &reply,
                                        config::OrganisationSettings organisation,
                                        std::string requestId);

private:
    class Run;

    Context &context_;
    outcome::RetryBudget &budget_;
    std::vector<peer::PeerKey> keys_;
};

} // namespace limereel::services
