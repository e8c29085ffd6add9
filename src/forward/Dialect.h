/** \file
 * The differences between the protocol dialects that callers and backend servers may use: how a
 * caller's request is read, how a request to a backend server is written, and how the head of an
 * answer is read.
 *
 * A dialect defines names and formats and makes no decisions.
 */
#pragma once

#include "forward/Backend.h"
#include "forward/Call.h"
#include "http/Message.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace limereel::forward {

/** What is added to a caller's request when it is sent to a backend server. */
struct SendContext
{
    ListedServer server;
    kernel::Duration left{};                  ///< Time left until the caller's deadline.
    std::string organisation;                 ///< Empty: none.
    std::optional<std::uint32_t> priority;    ///< 0 goes first.
    std::optional<kernel::Endpoint> takeFrom; ///< Server from which it may fetch prompt parts.
    std::optional<std::uint64_t> resumeAfter; ///< The last event that the caller has received.
};

/** The functions of one dialect. */
struct Dialect
{
    /** Parses a caller's request. Returns the typed request, or a description of the error. */
    std::function<tl::expected<Call, std::string>(const http::Request &)> readCall;

    /** Returns the request as it is sent to a backend server. */
    std::function<http::Request(const http::Request &, const SendContext &)> writeRequest;

    std::function<AnswerHead(int status, const http::Fields &)> readHead;

    /** Returns the fields of a refusal: the caller's request id and when to retry. */
    std::function<http::Fields(const std::string &requestId, kernel::Duration retryDelay)>
            refusalFields;

    /** Fields of requests and answers that the platform gives a meaning: a peer that lists one of
     * them in its Connection field doesn't take it away. */
    std::span<const std::string_view> ownFields;

    /** The path at which a load balancer asks whether the box is ready. */
    std::string readyPath;
};

} // namespace limereel::forward
