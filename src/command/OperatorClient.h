/** \file
 * Calls the control address of a box for the operators' subcommands.
 */
#pragma once

#include "http/Message.h"

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

namespace limereel::command {

/** Where to call, and as whom. */
struct Target
{
    std::string box; ///< IP:PORT of the control address.
    std::string
            keyFile; ///< File with the operator's key; "-" reads the environment's LIMEREEL_KEY.
    bool asJson = false;
};

/** A call that got no useful answer. */
struct OperatorFailure
{
    int exitCode = 0;
    std::string message;
};

/** Makes the call and reads its JSON answer. */
tl::expected<nlohmann::json, OperatorFailure> callBox(const Target &target,
                                                      const std::string &method,
                                                      const std::string &path,
                                                      const nlohmann::json &body = nullptr);

} // namespace limereel::command
