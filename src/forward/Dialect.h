/** \file
 * What differs between interfaces that callers and backend servers may speak: how a request is
 * read, how one is written to a backend server, and what the head of an answer says.
 *
 * A dialect knows names and formats and decides nothing.
 */
#pragma once

#include "forward/Backend.h"
#include "forward/Call.h"
#include "http/Message.h"

#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace limereel::forward {

/** What is added to a caller's request on its way to a backend server. */
struct SendContext
{
    ListedServer server;
    kernel::Duration left{};                  ///< Until the caller's deadline.
    std::string organisation;                 ///< Empty: none.
    std::optional<std::uint32_t> priority;    ///< 0 goes first.
    std::optional<kernel::Endpoint> takeFrom; ///< Where the server may take prompt parts from.
    std::optional<std::uint64_t> resumeAfter; ///< The last event that the caller has.
};

/** The hooks of one dialect. */
struct Dialect
{
    /** The typed request, or what is wrong with it. */
    std::function<tl::expected<Call, std::string>(const http::Request &)> readCall;

    /** The request as it goes to a backend server. */
    std::function<http::Request(const http::Request &, const SendContext &)> writeRequest;

    std::function<AnswerHead(int status, const http::Fields &)> readHead;

    /** The fields of a refusal: the caller's request id and when to come back. */
    std::function<http::Fields(const std::string &requestId, kernel::Duration comeBackIn)>
            refusalFields;

    /** The path at which a balancer asks whether the box is ready. */
    std::string readyPath;
};

} // namespace limereel::forward
