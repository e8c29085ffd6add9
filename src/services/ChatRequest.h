/** \file
 * A caller's chat request, parsed and validated.
 */
#pragma once

#include "http/Message.h"

#include <string>
#include <tl/expected.hpp>

namespace limereel::services {

/** The content of a POST to /v1/chat/completions. */
struct ChatRequest
{
    std::string model;
    std::string chat; ///< Id of the chat within the organisation.
    bool stream = false;
    bool repeatable = true; ///< False if the header field "X-Repeatable: no" was sent.
    std::string engineBody; ///< The JSON body for the engine.
};

/** Parses and validates \a request. The error text names the invalid field and what is allowed. */
tl::expected<ChatRequest, std::string> chatRequestFrom(const http::Request &request);

} // namespace limereel::services
