#include "outcome/Claim.h"

namespace limereel::outcome {

ClaimStep Claim::begin()
{
    return call(ClaimStep::Create);
}

ClaimStep Claim::onCreate(StoreAnswer answer)
{
    switch (answer) {
    case StoreAnswer::Done:
        return ClaimStep::Send;
    case StoreAnswer::Lost:
        maybeCreated_ = true;
        return call(ClaimStep::Read);
    case StoreAnswer::Conflict:
        // If no earlier create was lost, the claim belongs to another attempt.
        return maybeCreated_ ? call(ClaimStep::Read) : refuse(ResultCode::AlreadyClaimed);
    case StoreAnswer::Absent:
    case StoreAnswer::Unavailable:
        break;
    }
    return call(ClaimStep::Create);
}

ClaimStep Claim::onRead(StoreAnswer answer, const std::optional<std::string> &holder)
{
    if (answer == StoreAnswer::Done && holder) {
        return *holder == attempt_ ? ClaimStep::Send : refuse(ResultCode::AlreadyClaimed);
    }
    if (answer == StoreAnswer::Absent) {
        return call(ClaimStep::Create);
    }
    return call(ClaimStep::Read);
}

ClaimStep Claim::call(ClaimStep step)
{
    if (triesLeft_ <= 0) {
        return refuse(maybeCreated_ ? ResultCode::ClaimUnknown : ResultCode::ClaimUnavailable);
    }
    --triesLeft_;
    return step;
}

ClaimStep Claim::refuse(ResultCode code)
{
    refusal_ = code;
    return ClaimStep::Refuse;
}

} // namespace limereel::outcome
