/** \file
 * Ensures that a request with an idempotency key is sent at most once across all routers: only the
 * attempt that created the claim on the key sends it.
 *
 * The claim is an object on the platform, created on condition that it doesn't exist. An answer of
 * the platform can be lost although the write took effect, so the object holds the attempt's id:
 * after a lost answer the attempt reads the claim back and recognises its own. An attempt that
 * never learns who holds the claim doesn't send. The key may then be used up without a run, but it
 * never runs twice.
 */
#pragma once

#include "outcome/ResultCode.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limereel::outcome {

/** The platform's answer to a conditional create or a read. */
enum class StoreAnswer : std::uint8_t {
    Done,       ///< Created, or read.
    Conflict,   ///< It exists already.
    Absent,     ///< Read: it doesn't exist.
    Lost,       ///< No answer; it may have taken effect.
    Unavailable ///< Certainly without effect: not connected, refused, over the call budget.
};

/** The next step of a claim. */
enum class ClaimStep : std::uint8_t { Create, Read, Send, Refuse };

/** The state of one attempt to claim a key. Each event is answered with the next step. */
class Claim
{
public:
    /** \param tries the most calls to the platform in all. */
    Claim(std::string attempt, int tries)
        : attempt_(std::move(attempt))
        , triesLeft_(tries)
    {
    }

    const std::string &attempt() const { return attempt_; }

    /** Starts. \return Create, or Refuse if no calls are allowed. */
    ClaimStep begin();

    /** Takes the answer to a create. */
    ClaimStep onCreate(StoreAnswer answer);

    /** Takes the answer to a read; \a holder is the attempt named in the object, if one was read.
     */
    ClaimStep onRead(StoreAnswer answer, const std::optional<std::string> &holder);

    /** Why it was refused; valid after Refuse. */
    ResultCode refusal() const { return refusal_; }

private:
    ClaimStep call(ClaimStep step);
    ClaimStep refuse(ResultCode code);

    std::string attempt_;
    int triesLeft_;
    bool maybeCreated_ = false; ///< A create of this attempt may have taken effect.
    ResultCode refusal_ = ResultCode::ClaimUnavailable;
};

} // namespace limereel::outcome
