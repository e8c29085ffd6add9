/** \file
 * Answers of the box itself: every one carries the request's id, the numbered result and whether it
 * ran.
 */
#pragma once

#include "http/Message.h"
#include "kernel/decisions/Time.h"
#include "outcome/Attempt.h"

#include <string>

namespace limereel::services {

/** What is told of a request that got no answer. */
struct Refusal
{
    outcome::Verdict verdict;
    std::string message;
    kernel::Duration retryDelay{}; ///< Zero: no advice.
};

/** A refusal with the truth that its code's row in the table tells. */
Refusal refusalOf(outcome::ResultCode code, std::string message, kernel::Duration retryDelay = {});

/** The fields that every answer carries. */
http::Fields resultFields(const std::string &requestId, const outcome::Verdict &verdict);

/** The whole answer to a request that is given up on. */
http::Answer refusalAnswer(const std::string &requestId, const Refusal &refusal);

/** The JSON object that refusalAnswer() and a cut stream carry. */
std::string refusalJson(const std::string &requestId, const Refusal &refusal);

} // namespace limereel::services
