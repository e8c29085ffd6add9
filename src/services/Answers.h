/** \file
 * Answers that the box itself creates. Each carries the request's id, the numbered result and
 * whether the request ran.
 */
#pragma once

#include "http/Message.h"
#include "kernel/decisions/Time.h"
#include "outcome/Attempt.h"

#include <string>

namespace limereel::services {

/** What a caller is told about a request that got no answer from a backend server. */
struct Refusal
{
    outcome::Verdict verdict;
    std::string message;
    kernel::Duration retryDelay{}; ///< When to try again; zero: not said.
};

/** A refusal whose verdict takes its 'ran' value from the table of result codes. */
Refusal refusalOf(outcome::ResultCode code, std::string message, kernel::Duration retryDelay = {});

/** The fields that every answer carries. */
http::Fields resultFields(const std::string &requestId, const outcome::Verdict &verdict);

/** The whole answer to a request that is refused or has failed. */
http::Answer refusalAnswer(const std::string &requestId, const Refusal &refusal);

/** The JSON object in the body of refusalAnswer() and at the end of a stream that breaks off. */
std::string refusalJson(const std::string &requestId, const Refusal &refusal);

} // namespace limereel::services
